#include "tarragontrail/routing/block_lifetime_estimator.hpp"

#include <algorithm>

namespace tarragontrail::routing {

void block_lifetime_estimator::on_stored(std::uint64_t hash, core::time_point now) noexcept
{
    stored_block& slot = m_sample[hash % sample_size];
    const bool outdated = now - slot.m_stored_at > m_settings.m_lifetime_ceiling;
    if (slot.m_hash != 0 && !outdated)
    {
        return;
    }
    slot = {hash, now};
}

void block_lifetime_estimator::on_evicted(std::uint64_t hash, core::time_point now) noexcept
{
    stored_block& slot = m_sample[hash % sample_size];
    if (slot.m_hash != hash)
    {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - slot.m_stored_at).count();
    m_mean_seconds = m_learned
                         ? m_mean_seconds + m_settings.m_lifetime_gain * (seconds - m_mean_seconds)
                         : seconds;
    m_learned = true;
    slot = {};
}

std::chrono::milliseconds block_lifetime_estimator::estimate() const noexcept
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
