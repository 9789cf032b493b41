#pragma once

#include "tarragontrail/core/clock.hpp"

#include "tarragontrail/core/store_version.hpp"

#include <chrono>
#include <optional>

namespace tarragontrail::relay {

/// Settings of staleness_detector.
struct staleness_detector_settings
{
    /// Time for the table store itself to deliver the change first.
    std::chrono::milliseconds m_grace_period{300};
    /// Minimum time between requests to peers.
    std::chrono::milliseconds m_retry_interval{500};
};

/// Detects that the table store does not deliver changes to this instance, so that the table should
/// be requested from a peer.
///
/// The store may be slow or unreachable for some instances only, and its connections may have
/// failed silently; the versions that other instances report are evidence of that.
class staleness_detector
{
public:
    explicit staleness_detector(staleness_detector_settings settings = {}) : m_settings(settings) {}

    /// A peer reported the newest version that it has; returns true when to request the table from
    /// it now.
    bool on_peer_version(const core::store_version& peer_version,
                         const core::store_version& own_version, core::time_point now);

private:
    staleness_detector_settings m_settings;
    core::store_version m_newest_peer_version;      ///< Newest version reported by any peer.
    std::optional<core::time_point> m_behind_since; ///< Set while any peer has a newer version.
    core::time_point m_requested_at = core::time_point::min(); ///< Last request to a peer.
};

} // namespace tarragontrail::relay
