#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/idempotency/call_types.hpp"

#include <cstdint>
#include <string>

namespace tarragontrail::idempotency {

/// State of a key's row.
enum class call_state : std::uint64_t
{
    intended = 1, ///< Its writer may dispatch, or has dispatched.
    released = 2, ///< Its writer will never dispatch; another writer may take the key over.
    answered = 3, ///< The answer is stored.
    unknown = 4,  ///< Dispatched, and the outcome was not learned.
};

/// Names one writer's one call; no two calls share it, over restarts too.
struct call_owner
{
    core::instance_id m_instance{};    ///< Writing instance.
    core::incarnation m_started{};     ///< Its incarnation.
    core::request_id m_request{};      ///< Request that the intent was written for.
    std::uint64_t m_attempt_nonce = 0; ///< Random number drawn for this call.

    bool operator==(const call_owner&) const = default;
};

/// Row of one (workspace, key) in the table service.
struct call_row
{
    call_owner m_owner;              ///< Only this writer may dispatch.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, path and body.
    call_state m_state{};            ///< State.
    service_answer m_answer;         ///< Answer, when answered; the body may be elsewhere.
    std::string m_object;            ///< Object that holds the body; empty when the row does.

    bool operator==(const call_row&) const = default;
};

/// A row's bytes are not a call row.
class call_row_error : public core::error
{
public:
    using core::error::error;
};

/// Bytes of a row.
std::string encode_row(const call_row& row);

/// Row in bytes; throws call_row_error on anything else.
call_row decode_row(const std::string& bytes);

/// Row key of a caller's key, scoped to its workspace.
std::string row_key(core::workspace_id workspace, const std::string& key);

} // namespace tarragontrail::idempotency
