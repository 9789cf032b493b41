#include "tarragontrail/wire/json_document.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace tarragontrail::wire {

bool nests_too_deep(std::string_view text) noexcept
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char letter = text[i];
        if (in_string)
        {
            i += letter == '\\' ? 1 : 0;
            in_string = letter != '"';
            continue;
        }
        in_string = letter == '"';
        depth += letter == '[' || letter == '{' ? 1 : 0;
        depth -= (letter == ']' || letter == '}') && depth > 0 ? 1 : 0;
        if (depth > nesting_limit)
        {
            return true;
        }
    }
    return false;
}

nlohmann::json parse_json(std::string_view text)
{
    if (nests_too_deep(text))
    {
        throw json_error(fmt::format("nests deeper than {} levels", nesting_limit));
    }
    try
    {
        return nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw json_error(failure.what());
    }
}

} // namespace tarragontrail::wire
