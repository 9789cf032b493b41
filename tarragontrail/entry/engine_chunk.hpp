#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragontrail::entry {

/// Piece of an engine's streamed answer.
struct engine_chunk
{
    std::string m_id;           ///< Identity that the engine returns; empty when there is none.
    std::uint64_t m_offset = 0; ///< Tokens before this one.
    std::string m_text;         ///< New text; may be empty.
    bool m_is_final = false;    ///< The engine says why it ended.
    std::uint64_t m_prompt_tokens = 0; ///< Of a final one: tokens of the prompt.
    std::uint64_t m_cached_tokens = 0; ///< Of a final one: tokens of the prompt found cached.
};

/// Reads an event's data; throws wire::json_error.
engine_chunk parse_engine_chunk(std::string_view data);

} // namespace tarragontrail::entry
