#pragma once

#include "fake_table.hpp"
#include "key_history.hpp"
#include "tarragontrail/idempotency/call_guard.hpp"

#include <array>
#include <fmt/core.h>
#include <functional>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace tarragontrail::testing {

using namespace idempotency;
using namespace std::chrono_literals;
using core::execution;

/// Simulates three call guards, their callers, the service and the table.
class call_guard_simulation
{
public:
    call_guard_simulation(std::uint64_t seed, run_faults faults)
        : m_random(seed), m_faults(faults), m_table(m_events, m_random), m_guards(3), m_keys(6)
    {
        m_table.m_faults = {0.1 * m_random.unit(), 0.3 * m_random.unit(), 0.2, false};
        m_settings.m_max_batch = 1 + m_random.below(4);
        m_settings.m_max_wait = 1500ms;
        m_settings.m_max_row_body_bytes = 8;
        for (std::size_t i = 0; i < m_guards.size(); ++i)
        {
            replace(i);
        }
        for (std::size_t key = 0; key < m_keys.size(); ++key)
        {
            const std::uint64_t callers = 1 + m_random.below(2);
            for (std::uint64_t i = 0; i < callers; ++i)
            {
                send(key, m_table.delay(3000));
            }
        }
    }

    /// Runs the phase with faults and the fault-free phase after it.
    void run()
    {
        for (int second = 0; second < 12; ++second)
        {
            m_events.post(core::time_point{} + second * 1s, [this] { inject_faults(); });
        }
        m_events.post(core::time_point{} + 12s, [this] {
            m_faults_cleared = true;
            m_table.m_faults = {};
        });
        while (m_events.step(core::time_point{} + 60s))
        {}
        RC_ASSERT(m_faults.m_crashes || m_unanswered.empty());
        for (const key_history& key : m_keys)
        {
            RC_ASSERT(key.m_settled);
            RC_ASSERT(m_faults.m_crashes || m_faults.m_lost_calls || key.m_answer.has_value());
        }
        for (const auto& guard : m_guards)
        {
            RC_ASSERT(guard->idle());
        }
    }

    std::uint64_t steps() const { return m_events.steps(); }

private:
    using guard_ptr = std::shared_ptr<call_guard>;

    void inject_faults()
    {
        m_table.m_faults.m_down = m_random.unit() < 0.25;
        if (m_random.unit() < 0.3)
        {
            m_paused_until[m_random.below(m_guards.size())] = m_events.now() + m_table.delay(5000);
        }
        if (m_faults.m_crashes && m_random.unit() < 0.5)
        {
            replace(m_random.below(m_guards.size()));
        }
    }

    void replace(std::size_t index)
    {
        m_guards[index] = std::make_shared<call_guard>(m_settings, core::instance_id{index + 1},
                                                       core::incarnation{++m_started}, m_random());
    }

    /// A caller sends its request to a random instance after `pause`, unless its key is settled by
    /// then.
    void send(std::size_t key, core::duration pause)
    {
        m_events.post(m_events.now() + pause, [this, key] {
            if (m_keys[key].m_settled)
            {
                return;
            }
            const core::request_id request{++m_requests};
            const std::size_t at = m_random.below(m_guards.size());
            m_unanswered.emplace(request, key);
            m_keys_of.emplace(request, key);
            const core::time_point deadline = m_events.now() + 200ms + m_table.delay(4000);
            deliver(at, m_guards[at], [=, this, guard = m_guards[at]] {
                guard->begin({request, core::workspace_id{1 + key % 2}, fmt::format("k{}", key / 2),
                              key, deadline},
                             m_events.now());
            });
            // A caller without an answer sends its request again.
            m_events.post(m_events.now() + 10s, [this, key, request] {
                if (m_unanswered.contains(request))
                {
                    send(key, 0ms);
                }
            });
        });
    }

    void drain(std::size_t at)
    {
        const guard_ptr guard = m_guards[at];
        for (call_action& action : guard->take_actions())
        {
            std::visit([&](auto& what) { carry_out(at, guard, what); }, action);
        }
        if (const auto due = guard->next_deadline())
        {
            m_events.post(*due, [=, this] {
                deliver(at, guard, [=, this] { guard->on_timer(m_events.now()); });
            });
        }
    }

    /// Delivers an event to a guard once its process is not paused, unless the guard was replaced.
    void deliver(std::size_t at, const guard_ptr& guard, const std::function<void()>& event)
    {
        if (m_paused_until[at] > m_events.now())
        {
            m_events.post(m_paused_until[at], [=, this] { deliver(at, guard, event); });
            return;
        }
        if (m_guards[at] != guard)
        {
            return;
        }
        event();
        drain(at);
    }

    /// Runs a table operation; `done` takes its result.
    template <class Result, class Done>
    void run_table(std::size_t at, const guard_ptr& guard, std::uint64_t operation,
                   const std::function<Result()>& effect, Done done)
    {
        m_table.run<Result>(
            effect,
            [=, this](const Result& result) {
                deliver(at, guard,
                        [=, this] { (guard.get()->*done)(operation, result, m_events.now()); });
            },
            [=, this] {
                deliver(at, guard,
                        [=, this] { guard->on_table_failed(operation, m_events.now()); });
            });
    }

    void carry_out(std::size_t at, const guard_ptr& guard, const table_read& what)
    {
        run_table<read_result>(
            at, guard, what.m_operation,
            [=, this] { return m_table.read(what.m_table, what.m_key); },
            &call_guard::on_table_read);
    }

    void carry_out(std::size_t at, const guard_ptr& guard, const table_write& what)
    {
        run_table<write_result>(
            at, guard, what.m_operation, [=, this] { return m_table.write(what.m_writes); },
            &call_guard::on_table_written);
    }

    void carry_out(std::size_t at, const guard_ptr& guard, const object_write& what)
    {
        const bool kept = m_faults_cleared || m_random.unit() < 0.7;
        if (kept)
        {
            m_objects[what.m_name] = what.m_content;
        }
        finish_object(at, guard, what.m_operation, kept, {});
    }

    void carry_out(std::size_t at, const guard_ptr& guard, const object_read& what)
    {
        const bool found = m_faults_cleared || m_random.unit() < 0.7;
        finish_object(at, guard, what.m_operation, found, found ? m_objects.at(what.m_name) : "");
    }

    void finish_object(std::size_t at, const guard_ptr& guard, std::uint64_t operation, bool found,
                       const std::string& content)
    {
        m_events.post(m_events.now() + 5ms, [=, this] {
            deliver(at, guard, [=, this] {
                guard->on_object_done(operation, found, content, m_events.now());
            });
        });
    }

    /// The service may run the call even if the dispatching instance is replaced by then.
    void carry_out(std::size_t at, const guard_ptr& guard, const dispatch& what)
    {
        const std::size_t key = m_keys_of.at(what.m_request);
        const double chance = m_random.unit();
        const auto post = [&](auto event) {
            m_events.post(m_events.now() + m_table.delay(800), [=, this] {
                deliver(at, guard, [=, this] { event(*guard, m_events.now()); });
            });
        };
        if (chance < 0.3)
        {
            post([=](call_guard& to, core::time_point now) {
                to.on_dispatch_not_run(what.m_request, what.m_attempt, now);
            });
            return;
        }
        if (!m_faults.m_lost_calls || chance < 0.9)
        {
            m_keys[key].execute(what.m_request);
        }
        if (m_faults.m_lost_calls && chance > 0.7)
        {
            post([=](call_guard& to, core::time_point now) {
                to.on_dispatch_lost(what.m_request, what.m_attempt, now);
            });
            return;
        }
        const service_answer result{200, "x: y",
                                    fmt::format("{:x}", m_random() >> m_random.below(60))};
        // A later report that contradicts the first one must change nothing.
        post([=, this](call_guard& to, core::time_point now) {
            to.on_dispatch_finished(what.m_request, what.m_attempt, result, now);
            m_events.post(now + 900ms, [=, this] {
                deliver(at, guard, [=, this] {
                    guard->on_dispatch_not_run(what.m_request, what.m_attempt, m_events.now());
                });
            });
        });
    }

    void carry_out(std::size_t, const guard_ptr&, const answer& what)
    {
        close(what.m_request).on_answer(what.m_answer);
    }

    void carry_out(std::size_t, const guard_ptr&, const refuse& what)
    {
        const std::size_t key = m_keys_of.at(what.m_request);
        key_history& history = close(what.m_request);
        RC_ASSERT(what.m_reason != refusal::key_reused);
        RC_ASSERT(what.m_earlier != execution::not_run || history.m_executions == 0);
        if (what.m_execution == execution::not_run)
        {
            RC_ASSERT(!history.m_ran.contains(what.m_request));
            history.m_not_run.insert(what.m_request);
        }
        history.m_settled |= m_faults_cleared && what.m_reason == refusal::outcome_unknown;
        // The outcome of a crashed writer's intent stays unknown; repeated calls are refused as in
        // progress.
        history.m_settled |=
            m_faults_cleared && m_faults.m_crashes && what.m_reason == refusal::in_progress;
        send(key, m_table.delay(500));
    }

    key_history& close(core::request_id request)
    {
        RC_ASSERT(m_unanswered.erase(request) == 1 || m_faults.m_crashes);
        return m_keys[m_keys_of.at(request)];
    }

    core::seeded_random m_random; ///< Source of all random choices.
    run_faults m_faults;          ///< Kinds of faults in this run.
    event_queue m_events;
    fake_table m_table;
    call_guard_settings m_settings;
    std::vector<guard_ptr> m_guards;                  ///< One for each instance.
    std::array<core::time_point, 3> m_paused_until{}; ///< End of the current pause of each process.
    std::vector<key_history> m_keys;                  ///< One for each key.
    std::map<core::request_id, std::size_t> m_unanswered; ///< Requests without an answer.
    std::map<core::request_id, std::size_t> m_keys_of;    ///< Key index of each request.
    std::map<std::string, std::string> m_objects;         ///< Content of the object store by name.
    std::uint64_t m_requests = 0;                         ///< Last request id used.
    std::uint64_t m_started = 0;                          ///< Last incarnation used.
    bool m_faults_cleared = false; ///< Whether the phase with faults has ended.
};

} // namespace tarragontrail::testing
