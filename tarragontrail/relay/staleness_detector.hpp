#pragma once

#include "tarragontrail/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <concepts>
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

/// Detects that the table store does not deliver changes to this instance, so that they should be
/// requested from a peer.
///
/// The store may be slow or unreachable for some instances only, its connections may have failed
/// silently, and it may have lost changes by a return from an older copy; the versions that other
/// instances report are evidence of that.
template <std::totally_ordered Version>
class staleness_detector
{
public:
    explicit staleness_detector(staleness_detector_settings settings = {}) : m_settings(settings) {}

    /// A peer reported the newest version that it has; returns true when to request it from the
    /// peer now.
    bool on_peer_version(const Version& peer_version, const Version& own_version,
                         core::time_point now)
    {
        m_newest_peer_version = std::max(m_newest_peer_version, peer_version);
        if (m_newest_peer_version <= own_version)
        {
            m_behind_since.reset();
            return false;
        }
        if (!m_behind_since)
        {
            m_behind_since = now;
        }
        const bool requested_recently = m_requested_at != core::time_point::min() &&
                                        now - m_requested_at < m_settings.m_retry_interval;
        if (peer_version <= own_version || requested_recently ||
            now - *m_behind_since < m_settings.m_grace_period)
        {
            return false;
        }
        m_requested_at = now;
        return true;
    }

private:
    staleness_detector_settings m_settings;
    Version m_newest_peer_version{};                ///< Newest version reported by any peer.
    std::optional<core::time_point> m_behind_since; ///< Set while any peer has a newer version.
    core::time_point m_requested_at = core::time_point::min(); ///< Last request to a peer.
};

} // namespace tarragontrail::relay
