#include "tarragontrail/ctl/output.hpp"

#include <algorithm>
#include <fmt/core.h>

namespace tarragontrail::ctl {
namespace {

using nlohmann::json;

std::string value_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::size_t count_if_true(const json& list, const char* member)
{
    return static_cast<std::size_t>(
        std::count_if(list.begin(), list.end(),
                      [member](const json& each) { return each.value(member, false); }));
}

/// Lines of a list's members, indented.
std::string list_lines(const json& list)
{
    std::string text;
    for (const json& each : list)
    {
        text += fmt::format("  {}\n", each.is_object() ? to_line(each) : value_text(each));
    }
    return text;
}

} // namespace

std::string to_line(const json& object)
{
    std::string text;
    for (const auto& [name, value] : object.items())
    {
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, value_text(value));
    }
    return text;
}

std::string to_plain(const json& document)
{
    if (!document.is_object())
    {
        return document.is_array() ? list_lines(document) : value_text(document) + "\n";
    }
    std::string text;
    for (const auto& [name, value] : document.items())
    {
        if (value.is_array())
        {
            text += fmt::format("{}: {}\n{}", name, value.size(), list_lines(value));
            continue;
        }
        text +=
            fmt::format("{}: {}\n", name, value.is_object() ? to_line(value) : value_text(value));
    }
    return text;
}

std::string fleet_line(const std::string& admin, const json& status)
{
    const json engines = status.value("engines", json::array());
    return fmt::format("{} name={} bundle={} state={} keys={} view={} members={} limits_divided={} "
                       "engines={}/{} quarantines={} active={} sessions={}",
                       admin, status.value("name", ""), status.value("bundle_version", 0U),
                       status.value("bundle_state", ""), status.value("keys", ""),
                       status.value("view", std::uint64_t{0}),
                       status.value("members", json::array()).size(),
                       status.value("limits_divided", false), count_if_true(engines, "reachable"),
                       engines.size(), status.value("quarantines", json::array()).size(),
                       status.value("active", 0U), status.value("sessions", 0U));
}

} // namespace tarragontrail::ctl
