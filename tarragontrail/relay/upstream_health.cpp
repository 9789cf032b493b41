#include "tarragontrail/relay/upstream_health.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::relay {

void upstream_health::on_success(double slowdown, core::time_point now)
{
    record_outcome(0.0, now);
    const double bound = std::log(m_settings.m_max_slowdown);
    const double log_slowdown = std::clamp(std::log(std::max(slowdown, 1e-3)), -bound, bound);
    m_log_slowdown += m_settings.m_slowdown_weight * (log_slowdown - m_log_slowdown);
    m_failures_in_row = 0;
    m_unreachable_in_row = 0;
    m_ejections = 0;
    m_ejected_until = core::time_point::min();
}

void upstream_health::on_failure(core::time_point now)
{
    record_outcome(1.0, now);
    ++m_failures_in_row;
    if (m_failures_in_row >= m_settings.m_failures_to_eject || is_on_probation())
    {
        eject(now);
    }
}

void upstream_health::on_unreachable(core::time_point now)
{
    record_outcome(1.0, now);
    ++m_unreachable_in_row;
    if (m_unreachable_in_row >= m_settings.m_unreachable_to_eject)
    {
        eject(now);
    }
}

void upstream_health::on_peer_outcomes(std::uint64_t served, std::uint64_t failed,
                                       core::time_point now)
{
    for (std::uint64_t i = 0; i < std::min<std::uint64_t>(served, 16); ++i)
    {
        record_outcome(0.0, now);
    }
    for (std::uint64_t i = 0; i < std::min<std::uint64_t>(failed, 16); ++i)
    {
        record_outcome(1.0, now);
    }
}

double upstream_health::failure_rate(core::time_point now) const
{
    return m_failure_rate * decay_factor(now);
}

double upstream_health::slowdown(core::time_point now) const
{
    return std::exp(m_log_slowdown * decay_factor(now));
}

void upstream_health::record_outcome(double failure, core::time_point now)
{
    const double decay = decay_factor(now);
    m_failure_rate *= decay;
    m_log_slowdown *= decay;
    m_last_outcome = now;
    m_failure_rate += m_settings.m_outcome_weight * (failure - m_failure_rate);
}

void upstream_health::eject(core::time_point now)
{
    const std::uint64_t doublings = std::min<std::uint64_t>(m_ejections, 8);
    const std::chrono::milliseconds length = std::min(
        m_settings.m_first_ejection * (std::int64_t{1} << doublings), m_settings.m_max_ejection);
    ++m_ejections;
    m_ejected_until = now + length;
}

double upstream_health::decay_factor(core::time_point now) const
{
    if (now <= m_last_outcome)
    {
        return 1.0;
    }
    const std::chrono::duration<double> age = now - m_last_outcome;
    const std::chrono::duration<double> half_life = m_settings.m_evidence_half_life;
    return std::exp2(-age / half_life);
}

} // namespace tarragontrail::relay
