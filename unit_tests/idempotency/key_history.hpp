#pragma once

#include "tarragontrail/idempotency/call_types.hpp"

#include <optional>
#include <rapidcheck.h>
#include <set>

namespace tarragontrail::testing {

/// Kinds of faults in a run.
struct run_faults
{
    bool m_crashes = false;    ///< Instances crash and are replaced.
    bool m_lost_calls = false; ///< Connections to the service are lost after the request was sent.
};

/// History of a key as seen by the callers and the service.
struct key_history
{
    /// The service runs the call; it must do so only once.
    void execute(core::request_id request)
    {
        RC_ASSERT(++m_executions <= 1);
        RC_ASSERT(!m_not_run.contains(request));
        m_ran.insert(request);
    }

    /// A caller receives an answer; all answers of a key must be equal.
    void on_answer(const idempotency::service_answer& answer)
    {
        RC_ASSERT(m_executions == 1);
        RC_ASSERT(!m_answer || *m_answer == answer);
        m_answer = answer;
        m_settled = true;
    }

    std::uint64_t m_executions = 0;       ///< Number of times that the service ran the call.
    std::set<core::request_id> m_ran;     ///< Requests for which the service ran the call.
    std::set<core::request_id> m_not_run; ///< Requests refused as not run.
    std::optional<idempotency::service_answer> m_answer; ///< Answer that the callers received.
    /// Whether the key was answered, or refused as unknown once the faults ended.
    bool m_settled = false;
};

} // namespace tarragontrail::testing
