#include "stand_ins/platform_instances.hpp"

namespace tarragontrail::stand_ins {

void platform_instances::put(const std::string& name, nlohmann::json fields, core::time_point now)
{
    m_states.push_back({now, m_states.back().m_instances});
    m_states.back().m_instances[name] = std::move(fields);
}

void platform_instances::erase(const std::string& name, core::time_point now)
{
    m_states.push_back({now, m_states.back().m_instances});
    m_states.back().m_instances.erase(name);
}

const platform_instances::instance_map& platform_instances::shown(core::time_point now)
{
    while (m_states.size() > 1 && m_states[1].m_since + m_lag <= now)
    {
        m_states.pop_front();
    }
    return m_states.front().m_instances;
}

} // namespace tarragontrail::stand_ins
