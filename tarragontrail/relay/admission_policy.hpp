#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <variant>

namespace tarragontrail::relay {

/// Settings of admission_policy.
struct admission_policy_settings
{
    /// A request is late when its predicted first byte exceeds the objective times this factor.
    double m_objective_factor = 1.0;
    /// Requests predicted to use more than this fraction of the remaining time are refused.
    double m_max_deadline_fraction = 0.9;
    /// Lower bound of the retry delay given to callers.
    std::chrono::milliseconds m_min_retry_after{60};
    /// Upper bound of the retry delay given to callers.
    std::chrono::milliseconds m_max_retry_after{1'000};
    /// Priority of a request that cannot meet its objective on any upstream.
    std::uint64_t m_late_priority = 9;
};

/// Input of one admission decision.
struct admission_request
{
    core::duration m_predicted_first_byte{}; ///< Predicted time to first byte, queueing included.
    core::duration m_predicted_queue_time{}; ///< Part of it spent waiting for earlier work.
    core::duration m_objective{}; ///< Time to first byte up to which a response has its full value.
    core::duration m_time_left{}; ///< Time until the caller stops waiting.
    std::uint64_t m_priority = 0; ///< Zero is the most urgent.
};

/// The request is sent to the upstream.
struct admit_request
{
    std::uint64_t m_priority = 0;    ///< Priority to send along; zero is the most urgent.
    bool m_misses_objective = false; ///< The request is predicted to miss its objective.
};

/// The request is refused before any upstream receives it.
struct refuse_request
{
    core::duration m_retry_after{}; ///< Delay until capacity is predicted.
};

/// Outcome of an admission decision.
using admission_decision = std::variant<admit_request, refuse_request>;

/// Refuses requests that cannot be served in time, with a delay after which to retry.
///
/// Protects overloaded upstreams: work that would finish too late also delays the work queued
/// behind it. A request that misses its objective only because of the queue is refused while the
/// queue is long; one that would miss it on an idle upstream too is admitted at the lowest
/// priority.
class admission_policy
{
public:
    explicit admission_policy(admission_policy_settings settings = {}) : m_settings(settings) {}

    /// Decides on a request for which the best upstream was already selected.
    admission_decision decide(const admission_request& request) const;

    /// Delay after which a refused caller should retry, given the predicted queue time.
    core::duration retry_after(core::duration queue_time, core::duration time_left) const;

private:
    admission_policy_settings m_settings;
};

} // namespace tarragontrail::relay
