#pragma once

#include "stand_ins/http_support.hpp"
#include "tarragontrail/load/answer_text.hpp"

namespace tarragontrail::stand_ins {

/// A chat completion as an engine sees it.
struct chat_request
{
    std::string m_id;                      ///< Identity given by the sender.
    std::string m_model;                   ///< Model asked for.
    std::vector<std::uint64_t> m_blocks;   ///< Hashes of the prompt's whole blocks.
    std::uint64_t m_salt = 0;              ///< Beginning of the hash chain.
    std::uint64_t m_prompt_tokens = 0;     ///< Tokens of the prompt.
    std::uint64_t m_resume_from = 0;       ///< Answer tokens that the client has already.
    std::int64_t m_priority = 0;           ///< The highest is served first.
    bool m_stream = false;                 ///< Answer as server-sent events.
    load::answer_text m_answer{"", "", 0}; ///< Tokens to generate.
};

/// Reads a chat completion request; throws bad_request or a JSON error.
chat_request parse_chat_request(const net::http_request& request);

/// Writes the answer to one chat request, streamed or whole.
class chat_response
{
public:
    /// `weights_version` is shown as the system fingerprint.
    chat_response(exchange_pointer exchange, std::uint64_t weights_version);

    /// Sends the answer's tokens from `first` up to `last`, which is not included.
    void send_tokens(const chat_request& request, std::uint64_t first, std::uint64_t last);

    /// Ends the answer.
    void finish(const chat_request& request, std::uint64_t cached_tokens);

    /// Drops the connection.
    void abort() { m_exchange->abort(); }

private:
    void begin_stream();
    nlohmann::json body_of(const chat_request& request, const char* object) const;

    exchange_pointer m_exchange;     ///< Connection to the client.
    std::uint64_t m_weights_version; ///< Weights that compute the answer.
    bool m_begun = false;            ///< The stream's head is sent.
    std::string m_text;              ///< Answer that is sent whole.
};

} // namespace tarragontrail::stand_ins
