#pragma once

#include "tarragontrail/config/bundle.hpp"

#include <fmt/core.h>
#include <string>

namespace tarragontrail::test {

/// Text of the API key with this number.
inline std::string sample_key(std::size_t number)
{
    return fmt::format("key-{}", number);
}

/// Bundle with this many workspaces. Each has one key: key n belongs to workspace n.
inline config::bundle sample_bundle(std::size_t workspaces, std::uint64_t version = 1)
{
    config::bundle made;
    made.m_version = version;
    made.m_regions = {{"region-0", {"domain-0", "domain-2"}},
                      {"region-1", {"domain-1", "domain-3"}}};
    made.m_open_routes = {"/v1/status"};
    made.m_models = {{"tyre-7b", "w1", {"polite"}, 1}};
    config::upstream engine;
    engine.m_name = "engine-1";
    engine.m_address = "10.0.1.1";
    engine.m_port = 9000;
    engine.m_region = "region-0";
    engine.m_failure_domain = "domain-0";
    engine.m_model = "tyre-7b";
    config::upstream orders = engine;
    orders.m_name = "orders-1";
    orders.m_kind = config::upstream_kind::service;
    orders.m_model = "";
    made.m_upstreams = {engine, orders};
    made.m_service_routes = {{"/orders", {"orders-1"}, {"GET"}}};
    for (std::size_t i = 0; i < workspaces; ++i)
    {
        config::workspace each;
        each.m_name = fmt::format("workspace-{:05}", i);
        each.m_id = core::id_of<core::workspace_id>(each.m_name);
        each.m_tokens_per_second = 1000;
        each.m_burst_tokens = 60000;
        each.m_first_key = static_cast<std::uint32_t>(i);
        each.m_key_count = 1;
        made.m_workspaces.push_back(each);
        made.m_keys.push_back({config::sha256(sample_key(i)), 1, static_cast<std::uint32_t>(i),
                               config::key_state::active});
    }
    return made;
}

} // namespace tarragontrail::test
