#include "tarragontrail/relay/upstream_terms.hpp"

#include <algorithm>

namespace tarragontrail::relay {

bool upstream_terms::on_notice(const upstream_notice& notice, store_time store_now,
                               core::time_point now)
{
    m_is_leaving = m_is_leaving || notice.m_is_leaving;
    if (notice.m_wait)
    {
        m_waits_until = std::max(m_waits_until, now + std::min(*notice.m_wait, max_wait));
    }
    if (!notice.m_requests_per_second && !m_limit)
    {
        return false;
    }
    // The last answer that arrived here holds, whatever the clock showed at earlier ones.
    const store_time said_at =
        m_limit ? std::max(store_now, m_limit->m_said_at + store_time(1)) : store_now;
    return on_limit({notice.m_requests_per_second.value_or(0), said_at});
}

bool upstream_terms::on_limit(const named_limit& limit)
{
    if (m_limit && limit.m_said_at <= m_limit->m_said_at)
    {
        return false;
    }
    const bool is_other = !m_limit || m_limit->m_per_second != limit.m_per_second;
    m_limit = limit;
    return is_other;
}

std::optional<double> upstream_terms::requests_per_second() const
{
    return m_limit && m_limit->m_per_second > 0 ? std::make_optional(m_limit->m_per_second)
                                                : std::nullopt;
}

} // namespace tarragontrail::relay
