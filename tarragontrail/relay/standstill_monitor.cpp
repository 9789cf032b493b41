#include "tarragontrail/relay/standstill_monitor.hpp"

namespace tarragontrail::relay {

bool standstill_monitor::on_check(core::time_point now)
{
    const bool has_stood_still = is_late(now);
    if (has_stood_still)
    {
        // Another standstill may have kept the same bytes waiting.
        m_begin = m_last_check < m_read_until ? m_begin : m_last_check;
        m_read_until = now + m_settings.m_catch_up;
    }
    m_last_check = now;
    return has_stood_still;
}

core::duration standstill_monitor::unread_time(core::time_point now) const
{
    if (is_late(now))
    {
        return now - (m_last_check < m_read_until ? m_begin : m_last_check);
    }
    return now < m_read_until ? now - m_begin : core::duration::zero();
}

bool standstill_monitor::is_late(core::time_point now) const
{
    return m_last_check != core::time_point{} && now - m_last_check > m_settings.m_late_check;
}

} // namespace tarragontrail::relay
