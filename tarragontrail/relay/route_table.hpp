#pragma once

#include "tarragontrail/relay/relay_config.hpp"

#include <map>
#include <string_view>
#include <unordered_map>

namespace tarragontrail::relay {

/// One version of the configuration, indexed for lookups by requests.
///
/// A request keeps the table that it started with, so one version applies to it throughout.
class route_table
{
public:
    explicit route_table(relay_config config);

    /// Route of a host with the longest prefix of the path; null when none matches.
    const route* find(std::string_view host, std::string_view path) const;

    /// Workspace of a key; null when the key is unknown.
    const workspace* workspace_of(std::string_view key) const;

    /// Null when it is unknown.
    const service* find_service(std::string_view name) const;

    /// True when requests need a key unless their route is public.
    bool needs_keys() const noexcept { return !m_config.m_workspaces.empty(); }

    /// Cache store of the first service in the configuration that is one; null when there is none.
    const cache_store* store() const noexcept { return m_store; }

    const relay_config& config() const noexcept { return m_config; }

private:
    /// Owns everything that the pointers below refer to.
    relay_config m_config;
    /// By host; longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> m_hosts;
    /// By key.
    std::unordered_map<std::string, const workspace*> m_keys;
    /// By name.
    std::unordered_map<std::string, const service*> m_services;
    const cache_store* m_store = nullptr;
};

/// Selects a target of a route by weight; `draw` is uniform over all 64-bit numbers.
const route_target& choose_target(const route& source, std::uint64_t draw);

} // namespace tarragontrail::relay
