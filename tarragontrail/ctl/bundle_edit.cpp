#include "tarragontrail/ctl/bundle_edit.hpp"

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/ctl/ctl_error.hpp"

#include <algorithm>
#include <fmt/core.h>

namespace tarragontrail::ctl {
namespace {

using nlohmann::json;

/// Member of a list by its name; throws usage_error when there is none.
json::iterator find_named(json& list, const char* kind, const std::string& name)
{
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&](const json& each) { return each.at("name") == name; });
    if (found == list.end())
    {
        throw usage_error(fmt::format("there is no {} '{}'", kind, name));
    }
    return found;
}

void require_new(const json& list, const char* kind, const std::string& name)
{
    if (std::any_of(list.begin(), list.end(),
                    [&](const json& each) { return each.at("name") == name; }))
    {
        throw usage_error(fmt::format("there is a {} '{}' already", kind, name));
    }
}

/// Takes an upstream out of one route; a route needs one upstream at least.
void remove_from_route(json& route, const std::string& name)
{
    json& upstreams = route.at("upstreams");
    const auto found = std::find(upstreams.begin(), upstreams.end(), json(name));
    if (found == upstreams.end())
    {
        return;
    }
    upstreams.erase(found);
    if (upstreams.empty())
    {
        throw usage_error(fmt::format("'{}' is the last upstream of the route {}", name,
                                      route.at("path_prefix").get<std::string>()));
    }
}

} // namespace

void add_workspace(json& document, const std::string& name, std::uint64_t priority,
                   const workspace_limit& limit)
{
    json& workspaces = document.at("workspaces");
    require_new(workspaces, "workspace", name);
    workspaces.push_back({{"name", name},
                          {"tokens_per_second", limit.m_tokens_per_second},
                          {"burst_tokens", limit.m_burst_tokens},
                          {"priority", priority},
                          {"keys", json::array()}});
}

void set_workspace_limit(json& document, const std::string& name, const workspace_limit& limit)
{
    json& workspace = *find_named(document.at("workspaces"), "workspace", name);
    workspace["tokens_per_second"] = limit.m_tokens_per_second;
    workspace["burst_tokens"] = limit.m_burst_tokens;
}

void remove_workspace(json& document, const std::string& name)
{
    json& workspaces = document.at("workspaces");
    workspaces.erase(find_named(workspaces, "workspace", name));
}

json make_key_entry(const json& document, const std::string& workspace, const std::string& digest)
{
    json workspaces = document.at("workspaces");
    const json& owner = *find_named(workspaces, "workspace", workspace);
    std::uint64_t last_id = 0;
    for (const json& key : owner.at("keys"))
    {
        last_id = std::max(last_id, key.at("id").get<std::uint64_t>());
    }
    return {{"sha256", digest}, {"id", last_id + 1}, {"state", "active"}};
}

void add_key(json& document, const std::string& workspace, const std::string& digest)
{
    const json entry = make_key_entry(document, workspace, digest);
    find_named(document.at("workspaces"), "workspace", workspace)->at("keys").push_back(entry);
}

std::string workspace_of_key(const json& document, const std::string& digest)
{
    for (const json& workspace : document.at("workspaces"))
    {
        const json& keys = workspace.at("keys");
        if (std::any_of(keys.begin(), keys.end(),
                        [&](const json& key) { return key.at("sha256") == digest; }))
        {
            return workspace.at("name").get<std::string>();
        }
    }
    return {};
}

void open_route(json& document, const std::string& path)
{
    json& routes = document.at("open_routes");
    if (std::find(routes.begin(), routes.end(), json(path)) != routes.end())
    {
        throw usage_error(fmt::format("the route {} is open already", path));
    }
    routes.push_back(path);
}

void close_route(json& document, const std::string& path)
{
    json& routes = document.at("open_routes");
    const auto found = std::find(routes.begin(), routes.end(), json(path));
    if (found == routes.end())
    {
        throw usage_error(fmt::format("the route {} is not open", path));
    }
    routes.erase(found);
}

void add_upstream(json& document, const upstream_entry& entry)
{
    json& upstreams = document.at("upstreams");
    require_new(upstreams, "upstream", entry.m_name);
    upstreams.push_back({{"name", entry.m_name},
                         {"kind", entry.m_kind},
                         {"address", entry.m_address},
                         {"port", entry.m_port},
                         {"region", entry.m_region},
                         {"failure_domain", entry.m_failure_domain},
                         {"model", entry.m_model},
                         {"weights_version", entry.m_weights_version},
                         {"adapters", json::array()},
                         {"checks_fence", entry.m_checks_fence},
                         {"state", "ready"}});
}

void set_upstream_state(json& document, const std::string& name, bool ready)
{
    (*find_named(document.at("upstreams"), "upstream", name))["state"] =
        ready ? "ready" : "draining";
}

void remove_upstream(json& document, const std::string& name)
{
    json& upstreams = document.at("upstreams");
    upstreams.erase(find_named(upstreams, "upstream", name));
    for (json& route : document.at("service_routes"))
    {
        remove_from_route(route, name);
    }
}

std::string finish_edit(const json& current, json edited)
{
    edited["version"] = current.at("version").get<std::uint64_t>() + 1;
    try
    {
        const config::bundle next = config::parse_bundle(edited.dump());
        config::check_successor(config::parse_bundle(current.dump()), next);
        return config::serialize(next);
    }
    catch (const config::bundle_error& failure)
    {
        throw usage_error(failure.what());
    }
}

} // namespace tarragontrail::ctl
