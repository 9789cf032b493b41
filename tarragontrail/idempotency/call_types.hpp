#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/idempotency/table_operations.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace tarragontrail::idempotency {

/// Non-idempotent call to a plain service, as its caller sent it.
struct guarded_call
{
    core::request_id m_request{};     ///< Request.
    core::workspace_id m_workspace{}; ///< Workspace whose key came with the request.
    std::string m_key;                ///< Caller's Idempotency-Key; empty when there was none.
    std::uint64_t m_fingerprint = 0;  ///< Hash of method, path and body.
    core::time_point m_deadline{};    ///< The caller waits no longer than this.
};

/// Whole answer of a plain service.
struct service_answer
{
    std::uint64_t m_status = 0; ///< HTTP status.
    std::string m_headers;      ///< Header block that goes to the caller.
    std::string m_body;         ///< Body.

    bool operator==(const service_answer&) const = default;
};

/// Why the guard refused a call.
enum class refusal
{
    store_unavailable, ///< The intent could not be settled in time.
    key_reused,        ///< The key came before with another method, path or body.
    in_progress,       ///< The first call with this key is still running.
    outcome_unknown,   ///< Dispatched, and its outcome was not learned.
    upstream_refused,  ///< No upstream accepted a connection in time.
    overloaded,        ///< The guard's memory is full.
    answer_lost,       ///< It ran; its stored answer could not be fetched.
};

/// HTTP status that a refusal is sent with.
constexpr std::uint64_t status_of(refusal reason) noexcept
{
    switch (reason)
    {
    case refusal::key_reused:
        return 422;
    case refusal::in_progress:
    case refusal::outcome_unknown:
        return 409;
    default:
        return 503;
    }
}

/// Asks the shell to send the call to an upstream now.
struct dispatch
{
    core::request_id m_request{}; ///< Request.
    std::uint64_t m_attempt =
        0; ///< Counts attempts from one; later ones follow proofs of "not run".
    core::time_point m_deadline{}; ///< The caller's deadline.
};

/// Gives the caller its answer.
struct answer
{
    core::request_id m_request{}; ///< Request.
    service_answer m_answer;      ///< What the service answered.
    bool m_replayed = false;      ///< Stored earlier, for another request with the same key.
};

/// Refuses the caller.
struct refuse
{
    core::request_id m_request{};  ///< Request.
    refusal m_reason{};            ///< Why.
    core::execution m_execution{}; ///< What is known of this request's execution.
    core::execution m_earlier{};   ///< What is known of earlier requests with the same key.
};

/// Asks the shell to keep a large body in the object store.
struct object_write
{
    std::uint64_t m_operation = 0; ///< Echoed with the result.
    std::string m_name;            ///< Object's name; never written twice with different content.
    std::string m_content;         ///< Body.
};

/// Asks the shell for a stored body.
struct object_read
{
    std::uint64_t m_operation = 0; ///< Echoed with the result.
    std::string m_name;            ///< Object's name.
};

/// What the guard asks of its shell.
using call_action =
    std::variant<table_read, table_write, object_write, object_read, dispatch, answer, refuse>;

} // namespace tarragontrail::idempotency
