#pragma once

#include "tarragontrail/net/http_types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Segment of a prompt. Requests with the same leading parts can share cached attention state.
struct prompt_part
{
    std::uint64_t m_id = 0;     ///< Hash of the identity that the caller gave the part.
    std::uint64_t m_tokens = 0; ///< Length.
};

/// Prompt as the caller describes it in the request headers.
struct prompt_description
{
    std::string m_model;
    std::uint64_t m_input_tokens = 0;  ///< Length of the whole prompt.
    std::uint64_t m_output_tokens = 0; ///< Upper bound of generated tokens.
    std::vector<prompt_part> m_parts;  ///< In order; the last one is never shared.
};

/// Stream that a caller takes up after its connection broke.
struct taken_up_stream
{
    /// Id of the attempt that brought its first event; empty when the caller does not name it.
    std::string m_first_attempt;
    std::optional<std::uint64_t> m_last_event; ///< Id of the last event that the caller has.
};

/// Request of a caller, decoded from HTTP.
struct caller_request
{
    std::string m_id;   ///< Identifier of this attempt, set by the caller.
    std::string m_host; ///< Value of the Host header.
    std::string m_path; ///< Path without the query.
    std::string m_key;  ///< Key; empty when there is none.
    /// Time that the caller waits for a response; empty when it sets none.
    std::optional<std::chrono::milliseconds> m_deadline;
    /// What another instance that passed it on left of that; empty when none did.
    std::optional<std::chrono::milliseconds> m_time_left;
    std::optional<prompt_description> m_prompt; ///< Set for a request to a model.
    /// Tokens charged to the workspace; empty when the caller states none.
    std::optional<std::uint64_t> m_charged_tokens;
    /// Set when the caller takes up a stream whose connection broke.
    std::optional<taken_up_stream> m_taken_up;
    bool m_passed_on = false;                   ///< Another instance received it and passed it on.
    std::uint64_t m_earlier_runs = 0;           ///< Attempts there that may have executed it.
    std::chrono::milliseconds m_earlier_wait{}; ///< Longest time that it may have waited there.
    std::uint64_t m_fingerprint = 0; ///< Equal for repeats of a request by the same caller.
    net::http_request m_message;     ///< Method, target, headers to forward, and body.
};

} // namespace tarragontrail::relay
