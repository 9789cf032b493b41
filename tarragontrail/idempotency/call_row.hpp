#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/idempotency/call_types.hpp"

#include <cstdint>
#include <string>

namespace tarragontrail::idempotency {

/// State of the row of a key.
enum class call_state : std::uint64_t
{
    intended = 1, ///< The writer may dispatch the call or has dispatched it.
    released =
        2, ///< The writer will never dispatch the call; another writer may take over the key.
    answered = 3, ///< The answer is stored.
    unknown = 4,  ///< The call was dispatched, and its outcome is unknown.
};

/// Identifies a call of a writer; unique over all instances and restarts.
struct call_owner
{
    core::instance_id m_instance{};    ///< Instance that wrote the row.
    core::incarnation m_started{};     ///< Incarnation of that instance.
    core::request_id m_request{};      ///< Request for which the intent was written.
    std::uint64_t m_attempt_nonce = 0; ///< Random number drawn for each claim of the key.

    bool operator==(const call_owner&) const = default;
};

/// Row of a workspace's key in the table service.
struct call_row
{
    call_owner m_owner;              ///< Only this writer may dispatch the call.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, path and body.
    call_state m_state{};
    service_answer m_answer; ///< Valid in state answered; the body may be in m_object.
    std::string m_object; ///< Name of the object that holds the body; empty when the row holds it.

    bool operator==(const call_row&) const = default;
};

/// The bytes of a row do not encode a call_row.
class call_row_error : public core::error
{
public:
    using core::error::error;
};

/// Encodes a row as a CBOR array.
std::string encode_row(const call_row& row);

/// Decodes a row; throws call_row_error when it is malformed.
call_row decode_row(const std::string& bytes);

/// Table key for a caller's Idempotency-Key, scoped to the workspace.
std::string row_key(core::workspace_id workspace, const std::string& key);

} // namespace tarragontrail::idempotency
