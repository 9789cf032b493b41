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
    double m_ratio = 0.1; ///< Retries earned per request.
    /// Retries earned per second without traffic, by the whole fleet.
    double m_fleet_floor_per_second = 2.0;
    double m_burst = 20.0;            ///< Maximum retries saved up per instance.
    std::uint64_t m_max_attempts = 4; ///< Maximum attempts of one request, including the first.
    std::chrono::milliseconds m_initial_backoff{25}; ///< Maximum delay before the second attempt.
    std::chrono::milliseconds m_max_backoff{1000};   ///< Maximum delay before any attempt.
};

/// Failed attempt that may be retried.
struct failed_attempt
{
    std::uint64_t m_attempt = 1;   ///< Number of the attempt, counted from 1.
    bool m_idempotent = false;     ///< The request may be executed more than once.
    core::execution m_execution{}; ///< What is known about the execution of this attempt.
    core::time_point m_deadline{}; ///< The caller's deadline.
    core::duration m_expected{};   ///< Minimum time that another attempt needs.
};

/// Allows another attempt after a delay.
struct retry
{
    core::duration m_after{}; ///< Delay before the attempt.
};

/// Why no further attempt is made.
enum class give_up_reason
{
    not_repeatable,   ///< Not idempotent, and execution is not ruled out.
    attempts_used_up, ///< The maximum number of attempts was reached.
    deadline,         ///< Another attempt cannot finish before the deadline.
    budget,           ///< This instance's share of the fleet's retry budget is used up.
};

/// Ends the request without another attempt.
struct give_up
{
    give_up_reason m_reason{};
};

using retry_decision = std::variant<retry, give_up>;

/// This instance's share of the fleet-wide retry budget.
///
/// Each instance may retry a fraction of its own requests, so that the shares sum to the same
/// fraction of the fleet's requests. A small floor rate is divided by the number of live instances.
class retry_budget
{
public:
    retry_budget(retry_budget_settings settings, std::uint64_t seed, core::time_point now);

    /// The first attempt of a request was dispatched.
    void on_request();

    /// Sets the number of live instances.
    void on_instance_count(std::uint64_t count, core::time_point now);

    /// Decides whether a failed attempt is retried; a retry consumes one token.
    retry_decision decide(const failed_attempt& attempt, core::time_point now);

    /// Retries saved up as of the last refill.
    double tokens() const noexcept { return m_tokens; }

private:
    /// Tolerance for rounding errors of m_earned, in retries.
    static constexpr double rounding_tolerance = 1e-3;

    void refill(core::time_point now);
    void add_tokens(double tokens);

    retry_budget_settings m_settings;
    core::seeded_random m_random; ///< Jitter of the delays.
    double m_tokens = 0;
    double m_granted = 0; ///< Retries granted since process start.
    double m_earned = 0;  ///< Retries earned since process start.
    std::uint64_t m_instances = 1;
    core::time_point m_refilled_at{};
};

} // namespace tarragontrail::recovery
