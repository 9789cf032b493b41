#include "tarragontrail/config/bundle_checks.hpp"
#include "tarragontrail/config/bundle_delta.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/bundle_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <span>

namespace tarragontrail::config {

namespace {

using nlohmann::json;

std::span<const key_entry> keys_of(const bundle& from, const workspace& owner)
{
    return std::span(from.m_keys).subspan(owner.m_first_key, owner.m_key_count);
}

void append_workspace_json(const bundle& from, const workspace& each, std::string& text)
{
    fmt::format_to(std::back_inserter(text), R"({{"burst_tokens":{},"keys":[)",
                   each.m_burst_tokens);
    const char* separator = "";
    for (const key_entry& key : keys_of(from, each))
    {
        fmt::format_to(std::back_inserter(text), R"({}{{"id":{},"sha256":"{}","state":"{}"}})",
                       separator, key.m_id, to_hex(key.m_digest),
                       key.m_state == key_state::active ? "active" : "withdrawn");
        separator = ",";
    }
    fmt::format_to(std::back_inserter(text),
                   R"(],"name":"{}","priority":{},"tokens_per_second":{}}})", each.m_name,
                   each.m_priority, each.m_tokens_per_second);
}

json upstream_to_json(const upstream& each)
{
    return {{"name", each.m_name},
            {"kind", each.m_kind == upstream_kind::engine ? "engine" : "service"},
            {"address", each.m_address},
            {"port", each.m_port},
            {"region", each.m_region},
            {"failure_domain", each.m_failure_domain},
            {"model", each.m_model},
            {"weights_version", each.m_weights_version},
            {"adapters", each.m_adapters},
            {"checks_fence", each.m_checks_fence},
            {"state", each.m_state == upstream_state::ready ? "ready" : "draining"}};
}

json limits_to_json(const limits& from)
{
    return {{"request_bytes", from.m_request_bytes},
            {"output_tokens", from.m_output_tokens},
            {"queued_requests", from.m_queued_requests},
            {"request_timeout_ms", from.m_request_timeout.count()}};
}

/// Document without its workspaces.
json write_other_members(const bundle& from)
{
    json document = {{"version", from.m_version},
                     {"regions", json::array()},
                     {"open_routes", from.m_open_routes},
                     {"models", json::array()},
                     {"upstreams", json::array()},
                     {"service_routes", json::array()},
                     {"limits", limits_to_json(from.m_limits)},
                     {"rollout", json::array()}};
    for (const region& each : from.m_regions)
    {
        document["regions"].push_back(
            {{"name", each.m_name}, {"failure_domains", each.m_failure_domains}});
    }
    for (const model& each : from.m_models)
    {
        document["models"].push_back({{"name", each.m_name},
                                      {"weights_version", each.m_weights_version},
                                      {"adapters", each.m_adapters},
                                      {"minimum_engines", each.m_minimum_engines}});
    }
    for (const upstream& each : from.m_upstreams)
    {
        document["upstreams"].push_back(upstream_to_json(each));
    }
    for (const service_route& each : from.m_service_routes)
    {
        document["service_routes"].push_back({{"path_prefix", each.m_path_prefix},
                                              {"upstreams", each.m_upstreams},
                                              {"idempotent_methods", each.m_idempotent_methods}});
    }
    for (const rollout_step& each : from.m_rollout)
    {
        document["rollout"].push_back({{"failure_domains", each.m_failure_domains}});
    }
    return document;
}

/// Adds the workspaces that `chosen` selects to the other members of a document.
template <class Chosen>
std::string assemble_document(const json& rest, const bundle& from, Chosen chosen)
{
    std::string text = rest.dump();
    text.pop_back();
    text += ",\"workspaces\":[";
    bool first = true;
    for (const workspace& each : from.m_workspaces)
    {
        if (!chosen(each))
        {
            continue;
        }
        text += first ? "" : ",";
        first = false;
        append_workspace_json(from, each, text);
    }
    text += "]}";
    return text;
}

const workspace* find_workspace(const bundle& in, const std::string& name)
{
    const auto found = std::lower_bound(
        in.m_workspaces.begin(), in.m_workspaces.end(), name,
        [](const workspace& each, const std::string& wanted) { return each.m_name < wanted; });
    return found != in.m_workspaces.end() && found->m_name == name ? &*found : nullptr;
}

bool same_workspace(const bundle& a, const workspace& in_a, const bundle& b, const workspace& in_b)
{
    const auto same_key = [](const key_entry& x, const key_entry& y) {
        return x.m_digest == y.m_digest && x.m_id == y.m_id && x.m_state == y.m_state;
    };
    const std::span<const key_entry> keys_a = keys_of(a, in_a);
    const std::span<const key_entry> keys_b = keys_of(b, in_b);
    return in_a.m_tokens_per_second == in_b.m_tokens_per_second &&
           in_a.m_burst_tokens == in_b.m_burst_tokens && in_a.m_priority == in_b.m_priority &&
           std::equal(keys_a.begin(), keys_a.end(), keys_b.begin(), keys_b.end(), same_key);
}

/// Copies a workspace and its keys to the end of a bundle.
void append_workspace(const bundle& from, const workspace& each, bundle& to)
{
    workspace copy = each;
    copy.m_first_key = static_cast<std::uint32_t>(to.m_keys.size());
    const std::span<const key_entry> keys = keys_of(from, each);
    to.m_keys.insert(to.m_keys.end(), keys.begin(), keys.end());
    to.m_workspaces.push_back(std::move(copy));
}

} // namespace

std::string serialize(const bundle& from)
{
    return assemble_document(write_other_members(from), from,
                             [](const workspace&) { return true; });
}

std::string make_delta(const bundle& base, const bundle& next)
{
    json rest = write_other_members(next);
    rest["base"] = base.m_version;
    rest["removed_workspaces"] = json::array();
    for (const workspace& each : base.m_workspaces)
    {
        if (find_workspace(next, each.m_name) == nullptr)
        {
            rest["removed_workspaces"].push_back(each.m_name);
        }
    }
    return assemble_document(rest, next, [&](const workspace& each) {
        const workspace* before = find_workspace(base, each.m_name);
        return before == nullptr || !same_workspace(base, *before, next, each);
    });
}

bundle apply_delta(const bundle& base, std::string_view delta)
{
    bundle_reader reader(true);
    bundle next = reader.read(delta);
    if (reader.base_version() != base.m_version)
    {
        throw bundle_error(
            "/base", fmt::format("must be {} but is {}", base.m_version, reader.base_version()));
    }
    normalize(next);

    // Workspaces of the base that the delta neither replaces nor removes are kept unchanged.
    std::vector<std::string> removed = reader.removed();
    std::sort(removed.begin(), removed.end());
    bundle merged = next;
    for (const workspace& each : base.m_workspaces)
    {
        const bool is_removed = std::binary_search(removed.begin(), removed.end(), each.m_name);
        if (is_removed || find_workspace(next, each.m_name) != nullptr)
        {
            continue;
        }
        append_workspace(base, each, merged);
    }
    normalize(merged);
    check_bundle(merged);
    return merged;
}

} // namespace tarragontrail::config
