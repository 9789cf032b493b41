#include "tarragontrail/config/row_json.hpp"

#include "tarragontrail/wire/json_fields.hpp"

namespace tarragontrail::config {

using nlohmann::json;

json ref_to_json(const bundle_ref& ref)
{
    return {{"version", ref.m_version},
            {"object", ref.m_object},
            {"base", ref.m_base_version},
            {"change", ref.m_delta_object}};
}

bundle_ref ref_from_json(const json& from)
{
    const auto count = [&from](const char* name) {
        return wire::to_count(wire::field_at(from, name), name);
    };
    const auto text = [&from](const char* name) {
        return wire::to_text(wire::field_at(from, name), name);
    };
    return {count("version"), text("object"), count("base"), text("change")};
}

json steps_to_json(const std::vector<rollout_step>& steps)
{
    json written = json::array();
    for (const rollout_step& step : steps)
    {
        written.push_back(step.m_failure_domains);
    }
    return written;
}

std::vector<rollout_step> steps_from_json(const json& from)
{
    std::vector<rollout_step> steps;
    for (const json& step : wire::to_list(from, "steps"))
    {
        steps.push_back({step.get<std::vector<std::string>>()});
    }
    return steps;
}

json history_to_json(const write_history& history)
{
    json written = json::array();
    for (const write_record& entry : history.entries())
    {
        written.push_back({entry.m_replaced_version, entry.m_nonce});
    }
    return written;
}

write_history history_from_json(const json& from)
{
    write_history history;
    for (const json& entry : wire::to_list(from, "trail"))
    {
        history.add(wire::to_count(entry.at(0), "trail"),
                    wire::to_count(entry.at(1), "trail", wire::any_word));
    }
    return history;
}

} // namespace tarragontrail::config
