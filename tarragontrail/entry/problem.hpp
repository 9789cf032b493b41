#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/net/http_types.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace tarragontrail::entry {

/// Kinds of refusal and failure that callers see.
enum class problem_kind
{
    malformed_request,  ///< The request cannot be understood.
    request_too_large,  ///< Head or body over its limit.
    request_too_slow,   ///< The request did not arrive in time.
    key_missing,        ///< The route needs a key.
    key_unknown,        ///< No workspace has the key.
    key_withdrawn,      ///< The key was withdrawn.
    keys_not_vouched,   ///< This instance cannot vouch for any key now.
    key_in_request,     ///< The key stands where an upstream would see it.
    not_ready,          ///< No configuration is in force here yet.
    no_such_route,      ///< Nothing is served at this path.
    no_such_model,      ///< The model is not configured.
    rate_exceeded,      ///< The workspace is over its rate.
    charge_above_burst, ///< The charge can never pass.
    limits_unreachable, ///< The workspace's homes do not answer.
    overloaded,         ///< Queues are full.
    deadline_passed,    ///< The request's deadline passed.
    no_upstream,        ///< No upstream can take the request now.
    quarantined,        ///< The request crashed several upstreams.
    upstream_failed,    ///< The upstream failed and no retry is left.
    stream_broken,      ///< The stream ended before its end; it can be resumed.
    key_reused,         ///< Another request came with the same Idempotency-Key.
    call_in_progress,   ///< The first call with this key is still running.
    outcome_unknown,    ///< Dispatched, and its outcome was not learned.
    store_unavailable,  ///< The platform's table service does not answer.
    answer_lost,        ///< It ran; the stored answer cannot be fetched.
    draining,           ///< This instance is shutting down.
    forbidden,          ///< The operator may not do this.
    conflict,           ///< Another operator's change came first.
};

/// Name of a kind in problem documents and logs.
const char* to_string(problem_kind kind) noexcept;

/// HTTP status of a kind.
unsigned status_of(problem_kind kind) noexcept;

/// Refusal or failure as its caller is told.
struct problem
{
    problem_kind m_kind{};                                  ///< What went wrong.
    core::execution m_execution = core::execution::not_run; ///< What is known of its execution.
    std::string m_detail;                                   ///< Sentence for a person.
    std::optional<std::chrono::milliseconds> m_retry_after; ///< When a retry may pass.
};

/// A request cannot be served; carries what the caller is told.
class request_error : public core::error
{
public:
    explicit request_error(problem told) : error(told.m_detail), m_problem(std::move(told)) {}

    /// What the caller is told.
    const problem& told() const noexcept { return m_problem; }

private:
    problem m_problem; ///< What the caller is told.
};

/// JSON text of a problem document.
std::string problem_json(const problem& told);

/// Response with a problem document and, where it applies, Retry-After.
net::http_response problem_response(const problem& told);

} // namespace tarragontrail::entry
