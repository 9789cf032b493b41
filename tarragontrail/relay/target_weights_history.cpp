#include "tarragontrail/relay/target_weights_history.hpp"

namespace tarragontrail::relay {

bool target_weights_history::add_version(placement::weights_version version, core::time_point now)
{
    if (version <= newest_version())
    {
        return false;
    }
    m_versions.push_back({version, now});
    if (m_versions.size() > max_versions)
    {
        m_versions.erase(m_versions.begin());
    }
    return true;
}

std::optional<core::time_point>
target_weights_history::stale_since(placement::weights_version version) const
{
    for (const version_entry& entry : m_versions)
    {
        if (entry.m_version > version)
        {
            return entry.m_learned;
        }
    }
    return std::nullopt;
}

} // namespace tarragontrail::relay
