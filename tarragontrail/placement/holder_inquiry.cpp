#include "tarragontrail/placement/holder_inquiry.hpp"

namespace tarragontrail::placement {

bool holder_inquiry::is_request_due(const duty_row& holder, core::time_point now)
{
    if (!is_about(holder))
    {
        m_open = open_inquiry{holder.m_holder, holder.m_started, now, now};
        return true;
    }
    const auto interval =
        has_expired(holder, now) ? m_settings.m_late_interval : m_settings.m_interval;
    if (now - m_open->m_last < interval)
    {
        return false;
    }
    m_open->m_last = now;
    return true;
}

bool holder_inquiry::has_expired(const duty_row& holder, core::time_point now) const
{
    return is_about(holder) && now - m_open->m_since >= m_settings.m_patience;
}

bool holder_inquiry::is_about(const duty_row& holder) const
{
    return m_open && m_open->m_holder == holder.m_holder && m_open->m_started == holder.m_started;
}

} // namespace tarragontrail::placement
