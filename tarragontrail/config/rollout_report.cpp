#include "tarragontrail/config/rollout_report.hpp"

#include <algorithm>

namespace tarragontrail::config {

void rollout_report::record_version(core::instance_id instance, std::uint64_t version)
{
    std::uint64_t& held = m_versions[instance];
    held = std::max(held, version);
}

void rollout_report::forget_instance(core::instance_id instance)
{
    m_versions.erase(instance);
}

std::vector<instance_version> rollout_report::lagging(const head_row& head,
                                                      std::vector<instance_version> members) const
{
    for (instance_version& each : members)
    {
        const auto found = m_versions.find(each.m_instance);
        each.m_version = found != m_versions.end() ? found->second : 0;
    }
    std::erase_if(members, [&head](const instance_version& each) {
        return each.m_version >= head.target_for(each.m_failure_domain).m_version;
    });
    return members;
}

} // namespace tarragontrail::config
