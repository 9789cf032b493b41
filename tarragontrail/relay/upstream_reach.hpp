#pragma once

#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Settings of upstream_reach.
struct upstream_reach_settings
{
    /// Upstreams that fail in a row until their service counts as cut off; all, if it has fewer.
    std::size_t m_failures_in_row = 3;
};

/// Services whose upstreams this instance cannot reach.
///
/// Reachability belongs to a pair of instance and upstream. Where one upstream after the other
/// fails here and none responds meanwhile, it is the path from this instance that has failed, so
/// that another instance may serve the request.
class upstream_reach
{
public:
    explicit upstream_reach(upstream_reach_settings settings = {}) : m_settings(settings) {}

    /// An upstream of the service has responded to this instance.
    void on_response(const std::string& service);

    /// An upstream has not accepted a connection of this instance, or not responded to it in time;
    /// its service has `upstreams` that take requests.
    void on_failure(const std::string& service, core::upstream_id upstream, std::size_t upstreams);

    /// Whether the service cannot be reached from here.
    bool is_cut_off(const std::string& service) const { return m_cut_off.contains(service); }

    /// Services that cannot be reached from here.
    const std::set<std::string>& cut_off() const noexcept { return m_cut_off; }

    /// Hashes of their names, as other instances are told of them.
    std::vector<std::uint64_t> cut_off_hashes() const;

private:
    upstream_reach_settings m_settings;
    /// Upstreams that have failed since the last response of their service.
    std::map<std::string, std::set<core::upstream_id>> m_failed;
    std::set<std::string> m_cut_off;
};

} // namespace tarragontrail::relay
