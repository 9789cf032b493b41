#include "tarragontrail/recovery/retry_budget.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::recovery {

retry_budget::retry_budget(retry_budget_settings settings, std::uint64_t seed, core::time_point now)
    : m_settings(settings), m_random(seed), m_refilled_at(now)
{}

void retry_budget::on_request()
{
    add_tokens(m_settings.m_ratio);
}

void retry_budget::on_instance_count(std::uint64_t count, core::time_point now)
{
    refill(now);
    m_instances = std::max<std::uint64_t>(count, 1);
}

retry_decision retry_budget::decide(const failed_attempt& attempt, core::time_point now)
{
    refill(now);
    if (!attempt.m_idempotent && attempt.m_execution != core::execution::not_run)
    {
        return give_up{give_up_reason::not_repeatable};
    }
    if (attempt.m_attempt >= m_settings.m_max_attempts)
    {
        return give_up{give_up_reason::attempts_used_up};
    }

    // Exponential backoff with full jitter: the maximum delay doubles with each attempt, and the
    // delay is drawn uniformly from zero to the maximum.
    const std::uint64_t doublings = std::min<std::uint64_t>(attempt.m_attempt, 16) - 1;
    const std::chrono::milliseconds max_delay = std::min(
        m_settings.m_initial_backoff * (std::int64_t{1} << doublings), m_settings.m_max_backoff);
    const auto delay = core::scaled(max_delay, m_random.unit());
    if (now + delay + attempt.m_expected > attempt.m_deadline)
    {
        return give_up{give_up_reason::deadline};
    }
    if (m_tokens < 1.0)
    {
        return give_up{give_up_reason::budget};
    }

    m_tokens -= 1.0;
    m_granted += 1.0;
    TARRAGONTRAIL_INVARIANT(m_granted <= m_earned + rounding_tolerance, "retries_within_budget");
    return retry{delay};
}

void retry_budget::refill(core::time_point now)
{
    if (now <= m_refilled_at)
    {
        return;
    }
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_refilled_at = now;
    add_tokens(passed.count() * m_settings.m_fleet_floor_per_second /
               static_cast<double>(m_instances));
}

void retry_budget::add_tokens(double tokens)
{
    m_earned += tokens;
    m_tokens = std::min(m_tokens + tokens, m_settings.m_burst);
}

} // namespace tarragontrail::recovery
