#include "tarragontrail/relay/shared_read.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::relay {

void shared_read::ask(handler on_read)
{
    m_waiting.push_back(std::move(on_read));
    if (!m_is_due)
    {
        schedule();
    }
}

void shared_read::schedule()
{
    m_is_due = true;
    const core::time_point now = core::runtime_clock::now();
    m_timer.run_at(std::max(now, m_next), [this] { begin(); });
}

void shared_read::begin()
{
    const core::time_point begun = core::runtime_clock::now();
    m_read([this, begun, served = std::exchange(m_waiting, {})](bool is_read) {
        m_is_due = false;
        m_next = begun + (is_read ? m_settings.m_interval : m_settings.m_interval_after_failure);
        for (const handler& each : served)
        {
            each(is_read);
        }
        if (!m_waiting.empty() && !m_is_due)
        {
            schedule();
        }
    });
}

} // namespace tarragontrail::relay
