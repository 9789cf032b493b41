#include "tarragontrail/load/answer_text.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace tarragontrail::load {
namespace {

constexpr std::uint64_t short_answer_tokens = 8;
constexpr std::uint64_t word_count = 10'000;

} // namespace

std::string prompt_text(const std::vector<chat_message>& messages)
{
    std::string text;
    for (const chat_message& message : messages)
    {
        text += message.m_role;
        text += '\n';
        text += message.m_content;
        text += '\n';
    }
    return text;
}

std::uint64_t count_tokens(std::string_view text) noexcept
{
    return (text.size() + token_bytes - 1) / token_bytes;
}

std::vector<std::uint64_t> hash_blocks(std::string_view text, std::uint64_t salt)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(text.size() / block_bytes);
    std::uint64_t parent = salt;
    for (std::size_t start = 0; start + block_bytes <= text.size(); start += block_bytes)
    {
        parent = core::hash_pair(parent, core::hash_bytes(text.substr(start, block_bytes)));
        hashes.push_back(parent);
    }
    return hashes;
}

answer_text::answer_text(std::string_view prompt, std::string_view last_content,
                         std::uint64_t max_tokens)
    : m_prompt_hash(core::hash_bytes(prompt)), m_size(max_tokens)
{
    if (last_content.find("short") != std::string_view::npos)
    {
        m_size = std::min(m_size, short_answer_tokens);
    }
}

std::string answer_text::token(std::uint64_t index) const
{
    if (index == 0)
    {
        return fmt::format("p{:016x} ", m_prompt_hash);
    }
    return fmt::format("w{} ", core::hash_pair(m_prompt_hash, index) % word_count);
}

std::string answer_text::text_from(std::uint64_t first) const
{
    std::string text;
    for (std::uint64_t i = first; i < m_size; ++i)
    {
        text += token(i);
    }
    return text;
}

} // namespace tarragontrail::load
