#pragma once

#include "tarragontrail/entry/completion_request.hpp"

namespace tarragontrail::entry {

/// Call to a plain service as its caller sent it.
struct call_request
{
    core::request_id m_id{};         ///< Given by this instance.
    caller_identity m_caller;        ///< Who calls.
    std::string m_method;            ///< HTTP method.
    std::string m_target;            ///< Path and query.
    std::string m_path;              ///< Path alone.
    std::string m_content_type;      ///< Type of the body; empty when there is none.
    std::string m_accept;            ///< Types that the caller takes; empty when not told.
    std::string m_body;              ///< Body.
    std::string m_idempotency_key;   ///< Caller's Idempotency-Key; empty when there is none.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, target and body.
    std::optional<std::chrono::milliseconds> m_timeout; ///< The caller's own timeout.
};

/// Reads a call to a plain service; throws request_error on anything malformed.
call_request parse_call(const net::http_request& request);

} // namespace tarragontrail::entry
