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
    m_timer.run_at(std::max(now, m_begun + m_interval), [this] { begin(); });
}

void shared_read::begin()
{
    m_begun = core::runtime_clock::now();
    m_read([this, served = std::exchange(m_waiting, {})](bool is_read) {
        m_is_due = false;
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
