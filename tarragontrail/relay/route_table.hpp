#pragma once

#include "tarragontrail/relay/relay_config.hpp"

#include <map>
#include <string_view>
#include <unordered_map>

namespace tarragontrail::relay {

/// One version of the configuration with the indexes that each request needs.
///
/// A request keeps the table that it began with, so it is judged by one version throughout.
class route_table
{
public:
    explicit route_table(relay_config config);

    /// Route with the longest prefix of the path on that host; null when none matches.
    const route* find(std::string_view host, std::string_view path) const;

    /// Workspace that holds the key; null when there is none.
    const workspace* workspace_of(std::string_view key) const;

    /// Service by name; null when there is none.
    const service* find_service(std::string_view name) const;

    /// Requests need a key unless their route is public.
    bool needs_keys() const noexcept { return !m_config.m_workspaces.empty(); }

    /// Store of cached parts that stands nearest to the front of the list; null when there is none.
    const cache_store* store() const noexcept { return m_store; }

    /// Configuration.
    const relay_config& config() const noexcept { return m_config; }

private:
    relay_config m_config; ///< Owns everything that is pointed at below.
    std::unordered_map<std::string, std::vector<const route*>> m_hosts; ///< Longest prefix first.
    std::unordered_map<std::string, const workspace*> m_keys;           ///< By key.
    std::unordered_map<std::string, const service*> m_services;         ///< By name.
    const cache_store* m_store = nullptr;                               ///< First store.
};

/// Target of a route for a request, by weight; `draw` is uniform over all 64-bit numbers.
const route_target& choose_target(const route& source, std::uint64_t draw);

} // namespace tarragontrail::relay
