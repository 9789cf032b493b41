#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <variant>

namespace tarragontrail::relay {

/// Settings of admission_policy.
struct admission_policy_settings
{
    double m_objective_factor = 1.0; ///< First bytes forecast beyond this many objectives are late.
    double m_max_deadline_fraction =
        0.9; ///< No work for a request that would use more of its deadline.
    std::chrono::milliseconds m_min_retry_after{60};    ///< Shortest pause before a caller returns.
    std::chrono::milliseconds m_max_retry_after{1'000}; ///< Longest pause before a caller returns.
    std::uint64_t m_late_priority = 9; ///< Urgency of a request whose objective cannot be met.
};

/// Request as its admission sees it.
struct admission_request
{
    core::duration m_predicted_first_byte{}; ///< Forecast time to its first byte.
    core::duration m_predicted_queue_time{}; ///< Of this, waiting for earlier work.
    core::duration m_objective{}; ///< Time to the first byte that is worth its full value.
    core::duration m_time_left{}; ///< Time until nobody waits for it any more.
    std::uint64_t m_priority = 0; ///< Urgency; zero goes first.
};

/// The request goes to the upstream.
struct admit_request
{
    std::uint64_t m_priority = 0;    ///< Urgency to tell the upstream.
    bool m_misses_objective = false; ///< It will not meet its objective.
};

/// The request is refused before any upstream has seen it.
struct refuse_request
{
    core::duration m_retry_after{}; ///< When room is forecast.
};

/// Decision on one request.
using admission_decision = std::variant<admit_request, refuse_request>;

/// Refuses at once what cannot be served in time, and says when to come back.
///
/// Answers more load than the upstreams can carry: work that would come too late only makes the
/// work behind it late too. A request that misses its objective by the queue alone is refused while
/// the queue is long; one that would miss it on an idle upstream runs with the least urgency.
class admission_policy
{
public:
    explicit admission_policy(admission_policy_settings settings = {}) : m_settings(settings) {}

    /// Decision on a request for which the best upstream was chosen.
    admission_decision decide(const admission_request& request) const;

    /// Pause before a caller returns, when it is refused for a queue of this length.
    core::duration retry_after(core::duration queue_time, core::duration time_left) const;

private:
    admission_policy_settings m_settings; ///< Settings.
};

} // namespace tarragontrail::relay
