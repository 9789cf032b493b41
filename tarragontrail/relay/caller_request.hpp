#pragma once

#include "tarragontrail/net/http_types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// One part of a prompt; requests with the same leading parts share their cache.
struct prompt_part
{
    std::uint64_t m_id = 0;     ///< Hash of the identity that the caller named.
    std::uint64_t m_tokens = 0; ///< Length.
};

/// What a caller says of the prompt in its request.
struct prompt_description
{
    std::string m_model;               ///< Model that is asked.
    std::uint64_t m_input_tokens = 0;  ///< Tokens of the prompt.
    std::uint64_t m_output_tokens = 0; ///< Tokens generated at most.
    std::vector<prompt_part> m_parts;  ///< In order; the last belongs to this request alone.
};

/// A caller's request, read once from the wire.
struct caller_request
{
    std::string m_id;                                    ///< Identity of this attempt.
    std::string m_host;                                  ///< Host that was asked for.
    std::string m_path;                                  ///< Path without the query.
    std::string m_key;                                   ///< Key; empty when there is none.
    std::optional<std::chrono::milliseconds> m_deadline; ///< Time that the caller waits.
    std::optional<prompt_description> m_prompt;          ///< Set for a request to a model.
    std::optional<std::uint64_t>
        m_charged_tokens;            ///< Tokens that its workspace is charged; none named: empty.
    std::uint64_t m_fingerprint = 0; ///< Same for repeats of the same request by the same caller.
    net::http_request m_message;     ///< Method, target, headers to pass on, and body.
};

} // namespace tarragontrail::relay
