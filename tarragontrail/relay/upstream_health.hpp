#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <cstdint>

namespace tarragontrail::relay {

/// Settings of upstream_health.
struct upstream_health_settings
{
    std::uint64_t m_failures_to_eject = 3;           ///< Failures in a row that eject.
    std::uint64_t m_unreachable_to_eject = 1;        ///< Failed connections in a row that eject.
    std::chrono::milliseconds m_first_ejection{400}; ///< Length of the first ejection.
    std::chrono::milliseconds m_max_ejection{3'000}; ///< Length at most, after doublings.
    double m_outcome_weight = 0.12;                  ///< Weight of one outcome in the failure rate.
    double m_slowdown_weight = 0.15;                 ///< Weight of one request in the pace.
    std::chrono::milliseconds m_evidence_half_life{4'000}; ///< Evidence halves in this time.
    double m_max_slowdown = 20.0; ///< Pace is bounded to this and its inverse.
};

/// How an upstream's requests went, judged from the requests themselves.
///
/// Answers load patterns in which an upstream's own health check is wrong: one that fails part of
/// its requests, one that is slow, one that is silent, one that goes down and up by turns.
class upstream_health
{
public:
    explicit upstream_health(upstream_health_settings settings = {}) : m_settings(settings) {}

    /// A request ended well; `pace` is the time that it took over the time forecast.
    void on_success(double slowdown, core::time_point now);

    /// A request failed at the upstream.
    void on_failure(core::time_point now);

    /// A connection could not be made, or nothing came over it in time.
    void on_unreachable(core::time_point now);

    /// Another instance saw requests end there.
    void on_peer_outcomes(std::uint64_t served, std::uint64_t failed, core::time_point now);

    /// Work may go there: it is not ejected, or a trial is due.
    bool allows(core::time_point now) const noexcept { return now >= m_ejected_until; }

    /// The ejection has lapsed and no request has succeeded since: one trial at a time.
    bool is_on_probation() const noexcept { return m_ejections > 0; }

    /// Share of requests that fail there, from 0 to 1.
    double failure_rate(core::time_point now) const;

    /// Time that requests take over the time forecast; 1 when nothing is known.
    double slowdown(core::time_point now) const;

    /// Forgets everything; for an upstream that has started anew.
    void reset() { *this = upstream_health(m_settings); }

private:
    void record_outcome(double failure, core::time_point now);
    void eject(core::time_point now);
    double decay_factor(core::time_point now) const;

    upstream_health_settings m_settings;    ///< Settings.
    double m_failure_rate = 0;              ///< As of m_noted.
    double m_log_slowdown = 0;              ///< Natural logarithm, as of m_noted.
    core::time_point m_last_outcome{};      ///< Last outcome.
    std::uint64_t m_failures_in_row = 0;    ///< Failures since the last success.
    std::uint64_t m_unreachable_in_row = 0; ///< Failed connections since the last success.
    std::uint64_t m_ejections = 0;          ///< Ejections since the last success.
    core::time_point m_ejected_until = core::time_point::min(); ///< End of the ejection.
};

} // namespace tarragontrail::relay
