#pragma once

#include "tarragontrail/idempotency/call_types.hpp"

#include <optional>
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
    std::uint64_t m_executions = 0;                      ///< Times that the service ran it.
    std::set<core::request_id> m_ran;                    ///< Requests it ran for.
    std::set<core::request_id> m_not_run;                ///< Requests refused as not run.
    std::optional<idempotency::service_answer> m_answer; ///< First answer seen by a caller.
    bool m_settled = false; ///< Answered, or refused as unknown after the faults.
};

} // namespace tarragontrail::testing
