#include "tarragontrail/config/head_row.hpp"

#include "tarragontrail/config/row_json.hpp"
#include "tarragontrail/wire/json_fields.hpp"

#include <algorithm>
#include <fmt/core.h>

namespace tarragontrail::config {

using nlohmann::json;

const bundle_ref& head_row::target_for(std::string_view failure_domain) const noexcept
{
    if (is_rollout_complete())
    {
        return m_current;
    }
    for (std::size_t i = 0; i <= m_step; ++i)
    {
        const std::vector<std::string>& domains = m_steps[i].m_failure_domains;
        if (std::find(domains.begin(), domains.end(), failure_domain) != domains.end())
        {
            return m_current;
        }
    }
    return m_previous;
}

std::string serialize_head_row(const head_row& row)
{
    json withdrawals = json::array();
    for (const withdrawal& each : row.m_withdrawals)
    {
        withdrawals.push_back({each.m_prefix_high, each.m_prefix_low, each.m_bundle_version});
    }
    const json written = {{"current", ref_to_json(row.m_current)},
                          {"previous", ref_to_json(row.m_previous)},
                          {"steps", steps_to_json(row.m_steps)},
                          {"step", row.m_step},
                          {"withdrawals", withdrawals},
                          {"trail", history_to_json(row.m_history)}};
    return written.dump();
}

head_row parse_head_row(std::string_view text)
{
    return parse_row(text, [](const json& from) {
        head_row row;
        row.m_current = ref_from_json(from.at("current"));
        row.m_previous = ref_from_json(from.at("previous"));
        row.m_steps = steps_from_json(from.at("steps"));
        row.m_step = wire::to_count(wire::field_at(from, "step"), "step");
        constexpr const char* withdrawals = "withdrawals";
        for (const json& each : wire::to_list(wire::field_at(from, withdrawals), withdrawals))
        {
            row.m_withdrawals.push_back({wire::to_count(each.at(0), withdrawals, wire::any_word),
                                         wire::to_count(each.at(1), withdrawals, wire::any_word),
                                         wire::to_count(each.at(2), withdrawals)});
        }
        row.m_history = history_from_json(from.at("trail"));
        return row;
    });
}

std::string object_name(std::string_view kind, std::string_view bytes)
{
    return fmt::format("{}/{}", kind, to_hex(sha256(bytes)));
}

bool matches_object_name(std::string_view object, std::string_view bytes)
{
    const std::size_t slash = object.rfind('/');
    return slash != std::string_view::npos && object.substr(slash + 1) == to_hex(sha256(bytes));
}

} // namespace tarragontrail::config
