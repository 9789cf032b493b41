#include "tarragontrail/relay/wanted_weights.hpp"

namespace tarragontrail::relay {

bool wanted_weights::name(placement::weights_version version, core::time_point now)
{
    if (version <= newest())
    {
        return false;
    }
    m_named.push_back({version, now});
    if (m_named.size() > most_kept)
    {
        m_named.erase(m_named.begin());
    }
    return true;
}

std::optional<core::time_point>
wanted_weights::stale_since(placement::weights_version version) const
{
    for (const named_version& named : m_named)
    {
        if (named.m_version > version)
        {
            return named.m_at;
        }
    }
    return std::nullopt;
}

} // namespace tarragontrail::relay
