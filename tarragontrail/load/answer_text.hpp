#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragontrail::load {

/// One message of a chat request.
struct chat_message
{
    std::string m_role;    ///< Speaker.
    std::string m_content; ///< Text.
};

/// Text that an engine computes for a list of messages.
std::string prompt_text(const std::vector<chat_message>& messages);

/// Tokens of a prompt text.
std::uint64_t count_tokens(std::string_view text) noexcept;

/// Hashes of the whole blocks of a prompt text, each chained to the one before; the chain begins
/// at `salt`.
std::vector<std::uint64_t> hash_blocks(std::string_view text, std::uint64_t salt);

/// Answer of the stand-in engine: a function of the prompt alone, so that an answer that belongs to
/// another request is noticed.
class answer_text
{
public:
    /// `last_content` is the last message's text; an answer to one with "short" in it is short.
    answer_text(std::string_view prompt, std::string_view last_content, std::uint64_t max_tokens);

    /// Number of tokens.
    std::uint64_t size() const noexcept { return m_size; }

    /// Text of one token.
    std::string token(std::uint64_t index) const;

    /// Text of all tokens from `first` on.
    std::string text_from(std::uint64_t first = 0) const;

private:
    std::uint64_t m_prompt_hash; ///< Identity of the prompt.
    std::uint64_t m_size;        ///< Number of tokens.
};

constexpr std::size_t block_bytes = 4096;                         ///< Prompt bytes in one block.
constexpr std::uint64_t token_bytes = 4;                          ///< Prompt bytes in one token.
constexpr std::uint64_t block_tokens = block_bytes / token_bytes; ///< Tokens in one block.

} // namespace tarragontrail::load
