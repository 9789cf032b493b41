#include "tarragontrail/relay/staleness_detector.hpp"

#include <algorithm>

namespace tarragontrail::relay {

bool staleness_detector::on_peer_version(const core::store_version& peer_version,
                                         const core::store_version& own_version,
                                         core::time_point now)
{
    m_newest_peer_version = std::max(m_newest_peer_version, peer_version);
    if (m_newest_peer_version <= own_version)
    {
        m_behind_since.reset();
        return false;
    }
    if (!m_behind_since)
    {
        m_behind_since = now;
    }
    const bool requested_recently = m_requested_at != core::time_point::min() &&
                                    now - m_requested_at < m_settings.m_retry_interval;
    if (peer_version <= own_version || requested_recently ||
        now - *m_behind_since < m_settings.m_grace_period)
    {
        return false;
    }
    m_requested_at = now;
    return true;
}

} // namespace tarragontrail::relay
