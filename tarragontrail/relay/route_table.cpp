#include "tarragontrail/relay/route_table.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>

namespace tarragontrail::relay {
namespace {

/// Host in lower case, without its port.
std::string plain_host(std::string_view host)
{
    return boost::algorithm::to_lower_copy(std::string(host.substr(0, host.find(':'))));
}

} // namespace

route_table::route_table(relay_config config) : m_config(std::move(config))
{
    for (const route& candidate : m_config.m_routes)
    {
        m_hosts[plain_host(candidate.m_host)].push_back(&candidate);
    }
    for (auto& [host, routes] : m_hosts)
    {
        std::stable_sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
            return left->m_prefix.size() > right->m_prefix.size();
        });
    }
    for (const workspace& holder : m_config.m_workspaces)
    {
        for (const std::string& key : holder.m_keys)
        {
            m_keys.emplace(key, &holder);
        }
    }
    for (const service& entry : m_config.m_services)
    {
        m_services.emplace(entry.m_name, &entry);
        if (entry.m_store && m_store == nullptr)
        {
            m_store = &*entry.m_store;
        }
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_hosts.find(plain_host(host));
    if (found == m_hosts.end())
    {
        return nullptr;
    }
    for (const route* candidate : found->second)
    {
        if (path.starts_with(candidate->m_prefix))
        {
            return candidate;
        }
    }
    return nullptr;
}

const workspace* route_table::workspace_of(std::string_view key) const
{
    const auto found = m_keys.find(std::string(key));
    return found == m_keys.end() ? nullptr : found->second;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

const route_target& choose_target(const route& source, std::uint64_t draw)
{
    TARRAGONTRAIL_INVARIANT(!source.m_targets.empty(), "route_has_target");
    std::uint64_t total = 0;
    for (const route_target& target : source.m_targets)
    {
        total += target.m_weight;
    }
    if (total == 0)
    {
        return source.m_targets.front();
    }
    std::uint64_t left = draw % total;
    for (const route_target& target : source.m_targets)
    {
        if (left < target.m_weight)
        {
            return target;
        }
        left -= target.m_weight;
    }
    return source.m_targets.back();
}

} // namespace tarragontrail::relay
