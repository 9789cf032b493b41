#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace tarragontrail::relay {

/// Settings of staleness_watch.
struct staleness_detector_settings
{
    std::chrono::milliseconds m_grace_period{
        300}; ///< The store may tell the news itself meanwhile.
    std::chrono::milliseconds m_retry_interval{500}; ///< Pause between questions to peers.
};

/// Tells when to ask a peer for a table that the store keeps from this instance.
///
/// A store may be slow, unreachable or closed to some instances only, and its connections may have
/// gone silent; what other instances know is the evidence for it.
class staleness_detector
{
public:
    explicit staleness_detector(staleness_detector_settings settings = {}) : m_settings(settings) {}

    /// A peer named the newest version that it knows; returns true when it should be asked now.
    bool on_peer_version(std::uint64_t peer_version, std::uint64_t own_version,
                         core::time_point now);

private:
    staleness_detector_settings m_settings;         ///< Settings.
    std::uint64_t m_newest_peer_version = 0;        ///< Newest version that any peer named.
    std::optional<core::time_point> m_behind_since; ///< A peer has known more since then.
    core::time_point m_requested_at = core::time_point::min(); ///< Last question.
};

} // namespace tarragontrail::relay
