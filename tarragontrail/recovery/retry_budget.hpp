#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/random.hpp"

#include <chrono>
#include <cstdint>
#include <variant>

namespace tarragontrail::recovery {

/// Settings of retry_budget.
struct retry_budget_settings
{
    double m_ratio = 0.1;                  ///< Retries allowed for each request seen.
    double m_fleet_floor_per_second = 2.0; ///< Retries allowed without traffic, whole fleet.
    double m_burst = 20.0;                 ///< Retries saved up at most, each instance.
    std::uint64_t m_max_attempts = 4;      ///< Attempts of one request, the first included.
    std::chrono::milliseconds m_initial_backoff{25}; ///< Longest pause before the second attempt.
    std::chrono::milliseconds m_max_backoff{1000};   ///< Longest pause at all.
};

/// Failed attempt that its shell would like to repeat.
struct failed_attempt
{
    std::uint64_t m_attempt = 1;   ///< Counts from one.
    bool m_idempotent = false;     ///< Repeating the work does no harm.
    core::execution m_execution{}; ///< What is known of this attempt's execution.
    core::time_point m_deadline{}; ///< The caller's deadline.
    core::duration m_expected{};   ///< Time that another attempt needs at least.
};

/// Another attempt follows after a pause.
struct retry
{
    core::duration m_after{}; ///< Pause before it.
};

/// Why no other attempt follows.
enum class give_up_reason
{
    not_repeatable,   ///< Not idempotent and not proven "not run".
    attempts_used_up, ///< The request had its attempts.
    deadline,         ///< Another attempt cannot end within the deadline.
    budget,           ///< The instance's share of the fleet's budget is spent.
};

/// No other attempt follows.
struct give_up
{
    give_up_reason m_reason{}; ///< Why.
};

/// Decision on a failed attempt.
using retry_decision = std::variant<retry, give_up>;

/// This instance's share of the fleet-wide retry budget.
///
/// The share is a fraction of the requests seen here, so that the shares add up to the same
/// fraction of the fleet's requests; a small floor is divided by the number of live instances.
class retry_budget
{
public:
    retry_budget(retry_budget_settings settings, std::uint64_t seed, core::time_point now);

    /// A first attempt of a request was dispatched.
    void on_request();

    /// The number of live instances changed.
    void on_instance_count(std::uint64_t count, core::time_point now);

    /// Decides on another attempt; a retry takes one token.
    retry_decision decide(const failed_attempt& attempt, core::time_point now);

    /// Retries that can be granted now.
    double tokens() const noexcept { return m_tokens; }

private:
    /// Retries by which sums of fractions may be off.
    static constexpr double rounding_tolerance = 1e-3;

    void refill(core::time_point now);
    void add_tokens(double tokens);

    retry_budget_settings m_settings; ///< Settings.
    core::seeded_random m_random;     ///< Source of jitter.
    double m_tokens = 0;              ///< Retries saved up.
    double m_granted = 0;             ///< Retries granted since the start.
    double m_earned = 0;              ///< Retries earned since the start.
    std::uint64_t m_instances = 1;    ///< Live instances.
    core::time_point m_refilled_at{}; ///< Time of the last refill.
};

} // namespace tarragontrail::recovery
