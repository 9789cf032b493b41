#pragma once

#include "tarragontrail/idempotency/call_types.hpp"

#include <optional>
#include <rapidcheck.h>
#include <set>

namespace tarragontrail::testing {

/// Faults of one run.
struct run_faults
{
    bool m_crashes = false;    ///< Instances are replaced.
    bool m_lost_calls = false; ///< Connections to the service are lost after the request was sent.
};

/// One key's history as callers and the service see it.
struct key_history
{
    /// The service runs the call.
    void execute(core::request_id request)
    {
        RC_ASSERT(++m_executions <= 1);
        RC_ASSERT(!m_not_run.contains(request));
        m_ran.insert(request);
    }

    /// A caller gets an answer.
    void on_answer(const idempotency::service_answer& answer)
    {
        RC_ASSERT(m_executions == 1);
        RC_ASSERT(!m_answer || *m_answer == answer);
        m_answer = answer;
        m_settled = true;
    }

    std::uint64_t m_executions = 0;                      ///< Times that the service ran it.
    std::set<core::request_id> m_ran;                    ///< Requests it ran for.
    std::set<core::request_id> m_not_run;                ///< Requests refused as not run.
    std::optional<idempotency::service_answer> m_answer; ///< First answer seen by a caller.
    bool m_settled = false; ///< Answered, or refused as unknown after the faults.
};

} // namespace tarragontrail::testing
