#include "tarragontrail/config/row_json.hpp"

namespace tarragontrail::config {

using nlohmann::json;

json write_ref(const bundle_ref& ref)
{
    return {{"version", ref.m_version},
            {"object", ref.m_object},
            {"base", ref.m_base_version},
            {"change", ref.m_delta_object}};
}

bundle_ref read_ref(const json& from)
{
    return {from.at("version").get<std::uint64_t>(), from.at("object"),
            from.at("base").get<std::uint64_t>(), from.at("change")};
}

json write_steps(const std::vector<rollout_step>& steps)
{
    json written = json::array();
    for (const rollout_step& step : steps)
    {
        written.push_back(step.m_failure_domains);
    }
    return written;
}

std::vector<rollout_step> read_steps(const json& from)
{
    std::vector<rollout_step> steps;
    for (const json& step : from)
    {
        steps.push_back({step.get<std::vector<std::string>>()});
    }
    return steps;
}

json write_trail(const row_trail& trail)
{
    json written = json::array();
    for (const trail_entry& entry : trail.entries())
    {
        written.push_back({entry.m_replaced, entry.m_nonce});
    }
    return written;
}

row_trail read_trail(const json& from)
{
    row_trail trail;
    for (const json& entry : from)
    {
        trail.add(entry.at(0).get<std::uint64_t>(), entry.at(1).get<std::uint64_t>());
    }
    return trail;
}

} // namespace tarragontrail::config
