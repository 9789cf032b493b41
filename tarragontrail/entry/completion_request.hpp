#pragma once

#include "tarragontrail/config/key_digest.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/net/http_types.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace tarragontrail::entry {

/// Who calls: the digest of the key that came with the request, or nobody.
struct caller_identity
{
    std::optional<config::sha256_digest> m_digest; ///< Digest of the key; none without a key.
};

/// Chat completion as its caller sent it.
struct completion_request
{
    core::request_id m_id{};               ///< Given by this instance.
    caller_identity m_caller;              ///< Who calls.
    std::string m_path;                    ///< Path, for open routes.
    std::string m_model;                   ///< Model's name.
    std::string m_adapter;                 ///< Adapter's name; empty for the plain model.
    std::string m_prompt;                  ///< Canonical text of all messages.
    nlohmann::json m_body;                 ///< Body, for the engine.
    std::uint64_t m_prompt_tokens = 0;     ///< Estimated length of the prompt.
    std::uint64_t m_max_output_tokens = 0; ///< Most tokens to generate.
    std::uint64_t m_resume_from = 0;       ///< Token offset at which the caller resumes.
    std::uint64_t m_fingerprint = 0;       ///< Hash of the whole request within its workspace.
    bool m_stream = false;                 ///< The caller wants a stream.
    std::optional<std::chrono::milliseconds> m_timeout; ///< The caller's own timeout.
};

/// Bounds on what a completion may ask for.
struct completion_limits
{
    std::uint64_t m_default_output_tokens = 512; ///< Output when the caller names no bound.
    std::uint64_t m_max_output_tokens = 8192;    ///< Largest output that may be asked for.
};

/// Key in the Authorization or X-Api-Key header; empty when there is none.
std::string key_of(const net::http_request& request);

/// Digest of the key that came with a request; throws request_error when the key stands in the
/// target, the body or another header as well, where an upstream would see it.
caller_identity identify_caller(const net::http_request& request);

/// Timeout that the caller asks for; throws request_error when it is no number.
std::optional<std::chrono::milliseconds> timeout_of(const net::http_request& request);

/// Reads a chat completion; throws request_error on anything malformed.
completion_request parse_completion(const net::http_request& request,
                                    const completion_limits& limits);

} // namespace tarragontrail::entry
