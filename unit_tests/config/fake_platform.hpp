#pragma once

#include "tarragontrail/config/platform_calls.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace tarragontrail::test {

/// Virtual clock with a queue of timed events.
class event_queue
{
public:
    explicit event_queue(std::uint64_t seed) : m_random(seed) {}

    core::time_point now() const { return m_now; }

    void after(core::duration wait, std::function<void()> event)
    {
        m_events.emplace(m_now + wait, std::move(event));
    }

    /// Runs the events of the given duration and advances the clock by it.
    void run_for(core::duration length)
    {
        const core::time_point end = m_now + length;
        while (!m_events.empty() && m_events.begin()->first <= end)
        {
            auto first = m_events.extract(m_events.begin());
            m_now = first.key();
            first.mapped()();
        }
        m_now = end;
    }

    core::duration random_duration(core::duration longest)
    {
        return core::duration(static_cast<std::int64_t>(
            m_random.below(static_cast<std::uint64_t>(longest.count()) + 1)));
    }

    bool chance(double probability) { return m_random.unit() < probability; }

    core::seeded_random m_random; ///< Source of all delays and losses.

private:
    core::time_point m_now{std::chrono::hours(1)};                   ///< Current time.
    std::multimap<core::time_point, std::function<void()>> m_events; ///< Pending events by time.
};

/// Table service and object store with outages, delayed calls, and replies lost after the call took
/// effect.
class fake_platform
{
public:
    explicit fake_platform(event_queue& events) : m_events(events) {}

    bool m_table_up = true;                            ///< Whether the table service is reachable.
    bool m_objects_up = true;                          ///< Whether the object store is reachable.
    double m_reply_loss_rate = 0.0;                    ///< Fraction of replies that are lost.
    std::map<std::string, config::write_reply> m_rows; ///< Rows by `table/key`.
    std::map<std::string, std::string> m_objects;      ///< Objects by name.
    std::uint64_t m_reads = 0;                         ///< Table reads executed.
    std::uint64_t m_writes = 0;                        ///< Table writes executed.

    using failed = std::function<void()>;

    void read(const config::table_read& call, const std::function<void(config::read_reply)>& done,
              const failed& lost)
    {
        deliver_request(
            m_table_up,
            [=, this] {
                ++m_reads;
                const auto row = m_rows.find(call.m_table + "/" + call.m_key);
                config::read_reply reply{call.m_operation, row != m_rows.end(), {}, 0};
                if (reply.m_found)
                {
                    reply.m_version = row->second.m_version;
                    reply.m_value = call.m_version_only ? "" : row->second.m_value;
                }
                deliver_reply([=] { done(reply); }, lost);
            },
            lost);
    }

    void write(const config::table_write& call,
               const std::function<void(config::write_reply)>& done, const failed& lost)
    {
        deliver_request(
            m_table_up,
            [=, this] {
                ++m_writes;
                config::write_reply& row = m_rows[call.m_table + "/" + call.m_key];
                config::write_reply reply = row;
                reply.m_operation = call.m_operation;
                reply.m_ok = row.m_version == call.m_expected_version;
                if (reply.m_ok)
                {
                    row.m_value = call.m_value;
                    reply.m_version = ++row.m_version;
                }
                deliver_reply([=] { done(reply); }, lost);
            },
            lost);
    }

    void put(const config::object_put& call, const std::function<void()>& done, const failed& lost)
    {
        deliver_request(
            m_objects_up,
            [=, this] {
                m_objects[call.m_name] = call.m_bytes;
                deliver_reply(done, lost);
            },
            lost);
    }

    void get(const std::string& name, const std::function<void(std::string)>& done,
             const failed& lost)
    {
        deliver_request(
            m_objects_up,
            [=, this] {
                const auto found = m_objects.find(name);
                found == m_objects.end()
                    ? deliver_reply(lost, lost)
                    : deliver_reply([=, bytes = found->second] { done(bytes); }, lost);
            },
            lost);
    }

private:
    /// Maximum delay of a request or reply.
    static constexpr std::chrono::milliseconds max_delay{20};
    /// Delay until a call is reported as failed.
    static constexpr std::chrono::milliseconds call_timeout{1000};

    void deliver_request(const bool& up, const std::function<void()>& arrive, const failed& lost)
    {
        m_events.after(m_events.random_duration(max_delay), [&up, arrive, lost, this] {
            up ? arrive() : m_events.after(call_timeout, lost);
        });
    }

    void deliver_reply(const std::function<void()>& done, const failed& lost)
    {
        const bool is_lost = m_events.chance(m_reply_loss_rate);
        m_events.after(is_lost ? core::duration(call_timeout) : m_events.random_duration(max_delay),
                       is_lost ? lost : done);
    }

    event_queue& m_events;
};

} // namespace tarragontrail::test
