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

/// Runs events in the order of their times; events of equal time run in the order of posting.
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
    std::multimap<core::time_point, std::function<void()>> m_events;
    core::time_point m_now{};  ///< Time of the last event.
    std::uint64_t m_steps = 0; ///< Number of events run.
};

/// Faults of the table; the numbers are probabilities per operation.
struct table_faults
{
    double m_lost_before = 0; ///< Neither effect nor reply.
    double m_lost_after = 0;  ///< Effect, possibly late, but no reply.
    double m_twice = 0;       ///< The reply is delivered twice.
    bool m_down = false;      ///< All operations are lost, some after their effect.
};

/// In-memory table service that delays, loses and duplicates replies.
class fake_table
{
public:
    fake_table(event_queue& events, core::seeded_random& random)
        : m_events(events), m_random(random)
    {}

    table_faults m_faults;                    ///< Current faults.
    std::uint64_t m_rows_written = 0;         ///< Number of rows written.
    std::uint64_t m_transactions = 0;         ///< Number of transactions requested.
    std::chrono::milliseconds m_timeout{300}; ///< Delay after which a lost operation is reported.

    /// Carries out an operation; `reply` and `fail` notify the core that requested it.
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
    event_queue& m_events;
    core::seeded_random& m_random; ///< Source of random faults.
    std::map<std::pair<std::string, std::string>, idempotency::read_result> m_rows;
};

} // namespace tarragontrail::testing
