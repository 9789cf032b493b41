#include "tarragontrail/routing/link_budget.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::routing {

link_budget::link_budget(std::uint64_t bytes_per_second, std::uint64_t burst_bytes)
    : m_bytes_per_second(static_cast<double>(bytes_per_second)),
      m_burst_bytes(static_cast<double>(burst_bytes)), m_available_bytes(m_burst_bytes)
{}

bool link_budget::can_consume(std::uint64_t bytes, core::time_point now) const noexcept
{
    return static_cast<double>(bytes) <= available(now);
}

bool link_budget::try_consume(std::uint64_t bytes, core::time_point now)
{
    if (!can_consume(bytes, now))
    {
        return false;
    }
    m_available_bytes = available(now) - static_cast<double>(bytes);
    m_updated_at = std::max(m_updated_at, now);
    TARRAGONTRAIL_INVARIANT(m_available_bytes >= 0, "region_link_within_budget");
    return true;
}

double link_budget::available(core::time_point now) const noexcept
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - m_updated_at).count());
    return std::min(m_burst_bytes, m_available_bytes + elapsed * m_bytes_per_second);
}

} // namespace tarragontrail::routing
