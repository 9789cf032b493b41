#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/idempotency/table_operations.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace tarragontrail::testing {

/// Events in order of time; equal times keep their order of posting.
class event_queue
{
public:
    void post(core::time_point when, std::function<void()> what)
    {
        m_events.emplace(std::max(when, m_now), std::move(what));
    }

    /// Runs the next event; returns false when there is none before `end`.
    bool step(core::time_point end)
    {
        if (m_events.empty() || m_events.begin()->first > end)
        {
            m_now = std::max(m_now, end);
            return false;
        }
        auto node = m_events.extract(m_events.begin());
        m_now = node.key();
        ++m_steps;
        node.mapped()();
        return true;
    }

    core::time_point now() const { return m_now; }
    std::uint64_t steps() const { return m_steps; }

private:
    std::multimap<core::time_point, std::function<void()>> m_events; ///< By time.
    core::time_point m_now{};                                        ///< Time of the last event.
    std::uint64_t m_steps = 0;                                       ///< Events run.
};

/// Faults of the table, each a probability of one operation.
struct table_faults
{
    double m_lost_before = 0; ///< No effect and no reply.
    double m_lost_after = 0;  ///< Effect, possibly late, and no reply.
    double m_twice = 0;       ///< The reply comes twice.
    bool m_down = false;      ///< Every operation is lost, some after their effect.
};

/// Table service in memory that delays, loses and repeats replies.
class fake_table
{
public:
    fake_table(event_queue& events, core::seeded_random& random)
        : m_events(events), m_random(random)
    {}

    table_faults m_faults;                    ///< Present faults.
    std::uint64_t m_rows_written = 0;         ///< Rows written.
    std::uint64_t m_transactions = 0;         ///< Transactions asked for.
    std::chrono::milliseconds m_timeout{300}; ///< A lost operation is reported after this.

    /// Carries an operation out; `reply` and `fail` go to the asking core.
    template <class Result>
    void run(std::function<Result()> effect, std::function<void(const Result&)> reply,
             std::function<void()> fail)
    {
        const core::time_point now = m_events.now();
        const bool down = m_faults.m_down;
        if (m_random.unit() < (down ? 0.7 : m_faults.m_lost_before))
        {
            m_events.post(now + m_timeout, std::move(fail));
            return;
        }
        if (down || m_random.unit() < m_faults.m_lost_after)
        {
            m_events.post(now + delay(900), [effect] { effect(); });
            m_events.post(now + m_timeout, std::move(fail));
            return;
        }
        const bool twice = m_random.unit() < m_faults.m_twice;
        m_events.post(now + delay(10), [this, effect, reply, twice] {
            const Result result = effect();
            m_events.post(m_events.now() + delay(10), [=] { reply(result); });
            if (twice)
            {
                m_events.post(m_events.now() + delay(90), [=] { reply(result); });
            }
        });
    }

    idempotency::read_result read(const std::string& table, const std::string& key) const
    {
        const auto found = m_rows.find({table, key});
        return found == m_rows.end() ? idempotency::read_result{} : found->second;
    }

    idempotency::write_result write(const std::vector<idempotency::conditional_write>& writes)
    {
        ++m_transactions;
        idempotency::write_result result;
        for (; result.m_failing < writes.size(); ++result.m_failing)
        {
            const auto& wanted = writes[result.m_failing];
            result.m_current = read(wanted.m_table, wanted.m_key);
            if (result.m_current.m_version != wanted.m_expected)
            {
                return result;
            }
        }
        for (const auto& wanted : writes)
        {
            auto& row = m_rows[{wanted.m_table, wanted.m_key}];
            row = {true, wanted.m_value, wanted.m_expected + 1};
            result.m_versions.push_back(row.m_version);
            ++m_rows_written;
        }
        result.m_ok = true;
        return result;
    }

    core::duration delay(std::uint64_t limit_ms)
    {
        return std::chrono::microseconds(m_random.below(limit_ms * 1000));
    }

private:
    event_queue& m_events;         ///< Events.
    core::seeded_random& m_random; ///< Source of faults.
    std::map<std::pair<std::string, std::string>, idempotency::read_result> m_rows; ///< Rows.
};

} // namespace tarragontrail::testing
