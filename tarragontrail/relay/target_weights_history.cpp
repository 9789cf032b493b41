#include "tarragontrail/relay/target_weights_history.hpp"

#include <algorithm>

namespace tarragontrail::relay {

bool target_weights_history::add_version(placement::weights_version version, core::time_point now)
{
    return add({version, now, true});
}

bool target_weights_history::add_found_version(placement::weights_version version,
                                               core::time_point now)
{
    return add({version, now - unknown_age, false});
}

bool target_weights_history::add(const version_entry& entry)
{
    if (entry.m_version <= newest_version())
    {
        return false;
    }
    m_versions.push_back(entry);
    // Times of versions in between matter to engines that are still older.
    const auto end = m_times.upper_bound(entry.m_version);
    const std::map<placement::weights_version, core::time_point> told(m_times.begin(), end);
    m_times.erase(m_times.begin(), end);
    for (const auto& [version, at] : told)
    {
        set_time(version, at);
    }
    if (m_versions.size() > max_versions)
    {
        m_versions.erase(m_versions.begin());
    }
    return true;
}

void target_weights_history::set_time(placement::weights_version version, core::time_point at)
{
    if (version > newest_version())
    {
        m_times[version] = at;
        return;
    }
    const auto found =
        std::lower_bound(m_versions.begin(), m_versions.end(), version,
                         [](const version_entry& entry, placement::weights_version wanted) {
                             return entry.m_version < wanted;
                         });
    if (found->m_version != version)
    {
        m_versions.insert(found, {version, at, true});
        return;
    }
    found->m_requested = found->m_is_dated ? std::min(found->m_requested, at) : at;
    found->m_is_dated = true;
}

std::optional<core::time_point>
target_weights_history::stale_since(placement::weights_version version) const
{
    for (const version_entry& entry : m_versions)
    {
        if (entry.m_version > version)
        {
            return entry.m_requested;
        }
    }
    return std::nullopt;
}

std::vector<target_weights_history::naming> target_weights_history::dated_versions() const
{
    std::vector<naming> dated;
    for (const version_entry& entry : m_versions)
    {
        if (entry.m_is_dated)
        {
            dated.push_back({entry.m_version, entry.m_requested});
        }
    }
    return dated;
}

} // namespace tarragontrail::relay
