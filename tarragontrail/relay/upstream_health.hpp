#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <cstdint>

namespace tarragontrail::relay {

/// Settings of upstream_health.
struct upstream_health_settings
{
    /// Consecutive failures that eject the upstream.
    std::uint64_t m_failures_to_eject = 3;
    /// Consecutive failed connections that eject the upstream.
    std::uint64_t m_unreachable_to_eject = 1;
    /// Length of the first ejection; doubles with each further one.
    std::chrono::milliseconds m_first_ejection{400};
    /// Upper bound of the ejection length.
    std::chrono::milliseconds m_max_ejection{3'000};
    /// Weight of one outcome in the failure rate.
    double m_outcome_weight = 0.12;
    /// Weight of one request in the slowdown.
    double m_slowdown_weight = 0.15;
    /// Half-life of the failure rate and the slowdown.
    std::chrono::milliseconds m_evidence_half_life{4'000};
    /// Slowdown is clamped to this factor and its inverse.
    double m_max_slowdown = 20.0;
};

/// Health of an upstream, measured by the outcomes of the requests sent to it.
///
/// Covers upstreams whose own health check is misleading: ones that fail a part of their requests,
/// are slow, do not respond, or alternate between up and down.
class upstream_health
{
public:
    explicit upstream_health(upstream_health_settings settings = {}) : m_settings(settings) {}

    /// A request succeeded; `slowdown` is its actual over its predicted time to first byte.
    void on_success(double slowdown, core::time_point now);

    /// A request failed at the upstream.
    void on_failure(core::time_point now);

    /// A connection could not be made or timed out.
    void on_unreachable(core::time_point now);

    /// A peer reported the outcomes of its requests.
    void on_peer_outcomes(std::uint64_t served, std::uint64_t failed, core::time_point now);

    /// True when requests may be sent: the upstream is not ejected, or its ejection has ended.
    bool allows(core::time_point now) const noexcept { return now >= m_ejected_until; }

    /// True from an ejection until the next success; only one probe request at a time is sent then.
    bool is_on_probation() const noexcept { return m_ejections > 0; }

    /// Fraction of requests that fail, from 0 to 1.
    double failure_rate(core::time_point now) const;

    /// Ratio of actual to predicted time to first byte; 1 without evidence.
    double slowdown(core::time_point now) const;

    /// Discards all evidence, for an upstream that has restarted.
    void reset() { *this = upstream_health(m_settings); }

private:
    void record_outcome(double failure, core::time_point now);
    void eject(core::time_point now);
    double decay_factor(core::time_point now) const;

    upstream_health_settings m_settings;
    double m_failure_rate = 0;         ///< As of m_last_outcome.
    double m_log_slowdown = 0;         ///< Natural logarithm of the slowdown, as of m_last_outcome.
    core::time_point m_last_outcome{}; ///< When the last outcome was recorded.
    std::uint64_t m_failures_in_row = 0;    ///< Failures since the last success.
    std::uint64_t m_unreachable_in_row = 0; ///< Failed connections since the last success.
    std::uint64_t m_ejections = 0;          ///< Ejections since the last success.
    core::time_point m_ejected_until = core::time_point::min();
};

} // namespace tarragontrail::relay
