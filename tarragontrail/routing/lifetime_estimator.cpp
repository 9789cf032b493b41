#include "tarragontrail/routing/lifetime_estimator.hpp"

#include <algorithm>

namespace tarragontrail::routing {

void lifetime_estimator::on_stored(std::uint64_t hash, core::time_point now) noexcept
{
    stored_block& place = m_sample[hash % sample_size];
    const bool outdated = now - place.m_stored_at > m_settings.m_lifetime_ceiling;
    if (place.m_hash != 0 && !outdated)
    {
        return;
    }
    place = {hash, now};
}

void lifetime_estimator::on_evicted(std::uint64_t hash, core::time_point now) noexcept
{
    stored_block& place = m_sample[hash % sample_size];
    if (place.m_hash != hash)
    {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - place.m_stored_at).count();
    m_mean_seconds = m_learned
                         ? m_mean_seconds + m_settings.m_lifetime_gain * (seconds - m_mean_seconds)
                         : seconds;
    m_learned = true;
    place = {};
}

std::chrono::milliseconds lifetime_estimator::value() const noexcept
{
    if (!m_learned)
    {
        return {};
    }
    const auto mean = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(m_mean_seconds));
    return std::clamp(mean, m_settings.m_lifetime_floor, m_settings.m_lifetime_ceiling);
}

} // namespace tarragontrail::routing
