#pragma once

#include "tarragontrail/core/clock.hpp"

#include <functional>
#include <queue>
#include <utility>

namespace tarragontrail::limits {

/// Virtual time of a test. Events run in order of their time; events of the same time run in the
/// order in which they were added.
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

    core::time_point m_now{std::chrono::hours(1)};

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

    std::priority_queue<event> m_events;
    std::uint64_t m_serial = 0; ///< Number of events added so far.
};

} // namespace tarragontrail::limits
