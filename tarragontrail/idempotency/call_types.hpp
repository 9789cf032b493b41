#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/idempotency/table_operations.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace tarragontrail::idempotency {

/// Non-idempotent call to a plain service, as the caller sent it.
struct guarded_call
{
    core::request_id m_request{};
    core::workspace_id m_workspace{}; ///< Workspace of the API key that the request carried.
    std::string m_key;               ///< Idempotency-Key of the request; empty when there was none.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, path and body.
    core::time_point m_deadline{};   ///< The caller stops waiting at this time.
};

/// Complete response of a plain service.
struct service_answer
{
    std::uint64_t m_status = 0;
    std::string m_headers; ///< Header block passed to the caller.
    std::string m_body;
    /// False when only the close of its connection ended the response.
    bool m_is_end_proven = true;

    bool operator==(const service_answer&) const = default;
};

/// Reason for which call_guard refused a call.
enum class refusal
{
    store_unavailable, ///< The intent row could not be confirmed in time.
    key_reused,        ///< The key was used before with another method, path or body.
    in_progress,       ///< The first call with this key is still running.
    outcome_unknown,   ///< The call was dispatched, and its outcome is unknown.
    upstream_refused,  ///< No upstream accepted a connection in time.
    overloaded,        ///< The limit on calls or answers held in memory is reached.
    answer_lost,       ///< The call ran, but its stored answer could not be read in time.
};

/// HTTP status of a refusal.
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

/// Action: send the call to an upstream now.
struct dispatch
{
    core::request_id m_request{};
    /// Starts at one; an attempt follows only if all earlier ones provably did not run.
    std::uint64_t m_attempt = 0;
    core::time_point m_deadline{}; ///< Deadline of the caller.
};

/// Action: answer the caller.
struct answer
{
    core::request_id m_request{};
    service_answer m_answer; ///< Response of the service.
    bool m_replayed = false; ///< Whether it was produced for another request with the same key.
};

/// Action: refuse the caller.
struct refuse
{
    core::request_id m_request{};
    refusal m_reason{};
    core::execution m_execution{}; ///< What is known of the execution of this request.
    /// What is known of the execution of earlier requests with the same key.
    core::execution m_earlier{};
};

/// Action: write a large body to the object store.
struct object_write
{
    std::uint64_t m_operation = 0; ///< Echoed with the result.
    std::string m_name;            ///< Never written twice with different content.
    std::string m_content;
};

/// Action: read a body from the object store.
struct object_read
{
    std::uint64_t m_operation = 0; ///< Echoed with the result.
    std::string m_name;
};

/// Actions of call_guard that the I/O layer carries out.
using call_action =
    std::variant<table_read, table_write, object_write, object_read, dispatch, answer, refuse>;

} // namespace tarragontrail::idempotency
