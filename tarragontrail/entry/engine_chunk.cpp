#include "tarragontrail/entry/engine_chunk.hpp"

#include "tarragontrail/wire/json_document.hpp"
#include "tarragontrail/wire/json_fields.hpp"

namespace tarragontrail::entry {

using nlohmann::json;

engine_chunk parse_engine_chunk(std::string_view data)
{
    const json tree = wire::parse_json(data);
    const json& choices = wire::to_list(wire::field_at(tree, "choices"), "choices");
    if (choices.empty())
    {
        throw wire::json_error("field choices: empty");
    }
    const json& choice = choices.front();
    engine_chunk chunk;
    chunk.m_id = wire::text_or(tree, "id", {});
    chunk.m_offset = wire::count_or(tree, "offset", 0);
    if (const json* delta = wire::find_field(choice, "delta"))
    {
        chunk.m_text = wire::text_or(*delta, "content", {});
    }
    const json* reason = wire::find_field(choice, "finish_reason");
    chunk.m_is_final = reason != nullptr && reason->is_string();
    const json* usage = wire::find_field(tree, "usage");
    if (chunk.m_is_final && usage != nullptr)
    {
        chunk.m_prompt_tokens = wire::count_or(*usage, "prompt_tokens", 0);
        chunk.m_cached_tokens = wire::count_or(*usage, "cached_tokens", 0);
    }
    return chunk;
}

} // namespace tarragontrail::entry
