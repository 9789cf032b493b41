#include "tarragontrail/config/bundle_reader.hpp"

#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/schema_check.hpp"
#include "tarragontrail/wire/json_document.hpp"
#include "tarragontrail/wire/json_fields.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace tarragontrail::config {

namespace {

using nlohmann::json;

constexpr int workspace_depth = 2; ///< Nesting depth of a workspace object in the document.

/// Members that only a delta document has.
constexpr const char* base_member = "base";
constexpr const char* removed_member = "removed_workspaces";

std::vector<std::string> read_names(const json& from)
{
    return from.get<std::vector<std::string>>();
}

std::uint32_t read_count(const json& from, const char* name)
{
    return from.at(name).get<std::uint32_t>();
}

model model_from_json(const json& from)
{
    return {from.at("name"), from.at("weights_version"), read_names(from.at("adapters")),
            read_count(from, "minimum_engines")};
}

upstream upstream_from_json(const json& from)
{
    upstream parsed;
    parsed.m_name = from.at("name");
    parsed.m_id = core::id_of<core::upstream_id>(parsed.m_name);
    parsed.m_kind = from.at("kind") == "engine" ? upstream_kind::engine : upstream_kind::service;
    parsed.m_address = from.at("address");
    parsed.m_port = from.at("port").get<std::uint16_t>();
    parsed.m_region = from.at("region");
    parsed.m_failure_domain = from.at("failure_domain");
    parsed.m_model = from.at("model");
    parsed.m_weights_version = from.at("weights_version");
    parsed.m_adapters = read_names(from.at("adapters"));
    parsed.m_checks_fence = from.at("checks_fence");
    parsed.m_state = from.at("state") == "ready" ? upstream_state::ready : upstream_state::draining;
    return parsed;
}

limits limits_from_json(const json& from)
{
    limits parsed;
    parsed.m_request_bytes = read_count(from, "request_bytes");
    parsed.m_output_tokens = read_count(from, "output_tokens");
    parsed.m_queued_requests = read_count(from, "queued_requests");
    parsed.m_request_timeout = std::chrono::milliseconds(read_count(from, "request_timeout_ms"));
    return parsed;
}

} // namespace

bundle bundle_reader::read(std::string_view text)
{
    if (wire::nests_too_deep(text))
    {
        throw bundle_error("", fmt::format("nests deeper than {} levels", wire::nesting_limit));
    }
    bool in_workspaces = false;
    const auto keep = [&](int depth, json::parse_event_t event, json& parsed) {
        if (event == json::parse_event_t::key && depth == 1)
        {
            in_workspaces = parsed == "workspaces";
        }
        if (event != json::parse_event_t::object_end || depth != workspace_depth || !in_workspaces)
        {
            return true;
        }
        read_workspace(parsed);
        return false;
    };
    json document;
    try
    {
        document = json::parse(text, keep);
    }
    catch (const json::exception& failure)
    {
        throw bundle_error("", failure.what());
    }
    if (m_is_delta)
    {
        take_delta_members(document);
    }
    check_document(document);
    read_other_members(document);
    return std::move(m_bundle);
}

void bundle_reader::read_workspace(const json& from)
{
    const std::string path = fmt::format("/workspaces/{}", m_bundle.m_workspaces.size());
    check_workspace(from, path);
    workspace parsed;
    parsed.m_name = from.at("name");
    parsed.m_id = core::id_of<core::workspace_id>(parsed.m_name);
    parsed.m_tokens_per_second = read_count(from, "tokens_per_second");
    parsed.m_burst_tokens = read_count(from, "burst_tokens");
    parsed.m_priority = from.at("priority").get<std::uint8_t>();
    parsed.m_first_key = static_cast<std::uint32_t>(m_bundle.m_keys.size());
    for (const json& key : from.at("keys"))
    {
        key_entry entry;
        if (!from_hex(key.at("sha256").get_ref<const std::string&>(), entry.m_digest))
        {
            throw bundle_error(fmt::format("{}/keys/{}/sha256", path, parsed.m_key_count),
                               "must be 64 lower-case hexadecimal characters");
        }
        entry.m_id = read_count(key, "id");
        entry.m_workspace = static_cast<std::uint32_t>(m_bundle.m_workspaces.size());
        entry.m_state = key.at("state") == "active" ? key_state::active : key_state::withdrawn;
        m_bundle.m_keys.push_back(entry);
        ++parsed.m_key_count;
    }
    m_bundle.m_workspaces.push_back(std::move(parsed));
}

void bundle_reader::take_delta_members(json& document)
{
    try
    {
        m_base_version = wire::to_count(wire::field_at(document, base_member), base_member);
        m_removed = read_names(document.at(removed_member));
        document.erase(base_member);
        document.erase(removed_member);
    }
    catch (const wire::json_error& failure)
    {
        throw bundle_error("", failure.what());
    }
    catch (const json::exception& failure)
    {
        throw bundle_error("", failure.what());
    }
}

void bundle_reader::read_other_members(const json& document)
{
    m_bundle.m_version = document.at("version").get<std::uint64_t>();
    for (const json& from : document.at("regions"))
    {
        m_bundle.m_regions.push_back({from.at("name"), read_names(from.at("failure_domains"))});
    }
    m_bundle.m_open_routes = read_names(document.at("open_routes"));
    for (const json& from : document.at("models"))
    {
        m_bundle.m_models.push_back(model_from_json(from));
    }
    for (const json& from : document.at("upstreams"))
    {
        m_bundle.m_upstreams.push_back(upstream_from_json(from));
    }
    for (const json& from : document.at("service_routes"))
    {
        m_bundle.m_service_routes.push_back({from.at("path_prefix"),
                                             read_names(from.at("upstreams")),
                                             read_names(from.at("idempotent_methods"))});
    }
    m_bundle.m_limits = limits_from_json(document.at("limits"));
    for (const json& from : document.at("rollout"))
    {
        m_bundle.m_rollout.push_back({read_names(from.at("failure_domains"))});
    }
}

} // namespace tarragontrail::config
