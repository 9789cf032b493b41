#include "tarragontrail/config/row_json.hpp"

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
    return {from.at("version").get<std::uint64_t>(), from.at("object"),
            from.at("base").get<std::uint64_t>(), from.at("change")};
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
    for (const json& step : from)
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
    for (const json& entry : from)
    {
        history.add(entry.at(0).get<std::uint64_t>(), entry.at(1).get<std::uint64_t>());
    }
    return history;
}

} // namespace tarragontrail::config
