#include "tarragontrail/entry/json_input.hpp"

#include "tarragontrail/entry/problem.hpp"

namespace tarragontrail::entry {
namespace {

[[noreturn]] void refuse(const std::string& detail)
{
    throw request_error({problem_kind::malformed_request, core::execution::not_run, detail, {}});
}

} // namespace

nlohmann::json parse_json_object(const std::string& text)
{
    if (nests_too_deep(text))
    {
        refuse("body nests deeper than " + std::to_string(nesting_limit) + " levels");
    }
    nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
    {
        refuse("body is not a JSON object");
    }
    return body;
}

bool holds_text(const nlohmann::json& tree, const std::string& text)
{
    if (tree.is_string())
    {
        return tree.get_ref<const std::string&>().find(text) != std::string::npos;
    }
    if (!tree.is_structured())
    {
        return false;
    }
    for (const auto& [name, member] : tree.items())
    {
        if (name.find(text) != std::string::npos || holds_text(member, text))
        {
            return true;
        }
    }
    return false;
}

} // namespace tarragontrail::entry
