#pragma once

#include "tarragontrail/core/clock.hpp"

#include <functional>
#include <queue>
#include <utility>

namespace tarragontrail::limits {

/// Virtual time of a test: events run in order of time, then of their making.
class fake_timeline
{
public:
    void run_until(core::time_point end)
    {
        while (!m_events.empty() && m_events.top().m_at <= end)
        {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            next.m_run();
        }
        m_now = end;
    }

    void run_for(core::duration span) { run_until(m_now + span); }

    core::time_point now() const { return m_now; }

protected:
    void at(core::time_point when, std::function<void()> run)
    {
        m_events.push({when, m_serial++, std::move(run)});
    }

    core::time_point m_now{std::chrono::hours(1)}; ///< Current time.

private:
    struct event
    {
        core::time_point m_at;
        std::uint64_t m_serial = 0;
        std::function<void()> m_run;

        bool operator<(const event& other) const
        {
            return std::pair(m_at, m_serial) > std::pair(other.m_at, other.m_serial);
        }
    };

    std::priority_queue<event> m_events; ///< Earliest first.
    std::uint64_t m_serial = 0;          ///< Events made so far.
};

} // namespace tarragontrail::limits
