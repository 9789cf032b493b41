#pragma once

#include "tarragontrail/placement/order_sender.hpp"
#include "unit_tests/idempotency/fake_table.hpp"

#include <array>
#include <functional>
#include <memory>
#include <rapidcheck.h>

namespace tarragontrail::testing {

using namespace placement;
using namespace std::chrono_literals;

inline constexpr std::uint64_t instance_count = 3;
inline constexpr std::uint64_t engine_count = 4;

/// Engine that carries out orders some time after they were sent.
struct fake_engine
{
    engine_state m_state;
    std::uint64_t m_seen_fence = 0;   ///< Highest fencing number seen.
    std::uint64_t m_synced_fence = 0; ///< Highest fencing number under which the state was read.
};

/// Instance with its own clock, paused at times, and with a sender for each engine.
struct fake_instance
{
    std::array<std::shared_ptr<order_sender>, engine_count> m_senders; ///< By engine.
    core::duration m_offset{};         ///< Offset of its clock from the global time.
    core::time_point m_paused_until{}; ///< End of the current pause.
};

/// Simulates instances that give orders to the same engines, with a faulty table and lost replies.
class order_simulation
{
public:
    order_simulation(std::uint64_t seed, bool checks_fence)
        : m_random(seed), m_checks_fence(checks_fence), m_table(m_events, m_random)
    {
        m_table.m_faults = {0.05, 0.1, 0.1, false};
        for (std::uint64_t at = 0; at < instance_count; ++at)
        {
            m_instances[at].m_offset = m_table.delay(3600'000);
            for (std::uint64_t engine = 0; engine < engine_count; ++engine)
            {
                replace(at, engine);
            }
        }
    }

    void run()
    {
        for (int i = 0; i < 60; ++i)
        {
            m_events.post(core::time_point{} + i * 2s, [this] { inject_faults(); });
        }
        m_events.post(core::time_point{} + 120s, [this] { m_table.m_faults = {}; });
        while (m_events.step(core::time_point{} + 400s))
        {}
        for (const fake_instance& instance : m_instances)
        {
            for (const auto& sender : instance.m_senders)
            {
                RC_ASSERT(sender->idle());
            }
        }
        RC_ASSERT(m_effects > 0);
    }

    std::uint64_t m_effects = 0; ///< Orders that took effect.

private:
    using sender_ptr = std::shared_ptr<order_sender>;
    using sender_event = std::function<void(order_sender&, core::time_point)>;

    core::time_point local_time(std::uint64_t at) const
    {
        return m_events.now() + m_instances[at].m_offset;
    }

    void replace(std::uint64_t at, std::uint64_t engine)
    {
        m_instances[at].m_senders[engine] = std::make_shared<order_sender>(
            order_sender_settings{}, core::upstream_id{engine}, m_checks_fence,
            core::instance_id{at}, core::incarnation{++m_numbers}, m_random());
    }

    void inject_faults()
    {
        m_table.m_faults.m_down = m_random.unit() < 0.15;
        const std::uint64_t at = m_random.below(instance_count);
        const std::uint64_t engine = m_random.below(engine_count);
        const double chance = m_random.unit();
        if (chance < 0.2)
        {
            m_instances[at].m_paused_until = m_events.now() + m_table.delay(30'000);
        }
        else if (chance < 0.3)
        {
            replace(at, engine);
        }
        const auto kind = m_random.below(3) == 0 ? order_kind::change_role : order_kind::load_model;
        const engine_order order{++m_numbers,
                                 kind,
                                 core::model_id{1 + m_random.below(3)},
                                 weights_version{m_random.below(3)},
                                 core::adapter_id{},
                                 engine_role(m_random.below(3))};
        deliver(at, engine, m_instances[at].m_senders[engine],
                [order](order_sender& to, core::time_point now) { to.submit(order, now); });
    }

    /// Delivers an event to a sender once its instance is not paused, unless the sender was
    /// replaced.
    void deliver(std::uint64_t at, std::uint64_t engine, const sender_ptr& sender,
                 const sender_event& event)
    {
        const core::time_point ready = m_instances[at].m_paused_until;
        if (ready > m_events.now())
        {
            m_events.post(ready, [=, this] { deliver(at, engine, sender, event); });
            return;
        }
        if (m_instances[at].m_senders[engine] != sender)
        {
            return;
        }
        event(*sender, local_time(at));
        for (const order_action& action : sender->take_actions())
        {
            std::visit([&](const auto& what) { carry_out(at, engine, sender, what); }, action);
        }
        if (const auto due = sender->next_deadline())
        {
            m_events.post(*due - m_instances[at].m_offset, [=, this] {
                deliver(at, engine, sender,
                        [](order_sender& to, core::time_point now) { to.on_timer(now); });
            });
        }
    }

    void carry_out(std::uint64_t at, std::uint64_t engine, const sender_ptr& sender,
                   const idempotency::table_read& what)
    {
        const std::uint64_t number = what.m_operation;
        m_table.run<idempotency::read_result>(
            [=, this] { return m_table.read(what.m_table, what.m_key); },
            [=, this](const idempotency::read_result& result) {
                deliver(at, engine, sender, [=](order_sender& to, core::time_point now) {
                    to.on_table_read(number, result, now);
                });
            },
            [=, this] { fail(at, engine, sender, number); });
    }

    void carry_out(std::uint64_t at, std::uint64_t engine, const sender_ptr& sender,
                   const idempotency::table_write& what)
    {
        const std::uint64_t number = what.m_operation;
        m_table.run<idempotency::write_result>(
            [=, this] { return m_table.write(what.m_writes); },
            [=, this](const idempotency::write_result& result) {
                deliver(at, engine, sender, [=](order_sender& to, core::time_point now) {
                    to.on_table_written(number, result, now);
                });
            },
            [=, this] { fail(at, engine, sender, number); });
    }

    void fail(std::uint64_t at, std::uint64_t engine, const sender_ptr& sender,
              std::uint64_t number)
    {
        deliver(at, engine, sender,
                [=](order_sender& to, core::time_point now) { to.on_table_failed(number, now); });
    }

    /// The I/O layer sends the order once the instance runs, unless its latest send time has
    /// passed.
    void carry_out(std::uint64_t at, std::uint64_t engine, const sender_ptr& sender,
                   const send_order& what)
    {
        const core::time_point when =
            m_random.below(10) == 0 ? m_events.now() + m_table.delay(15'000) : m_events.now();
        m_events.post(when, [=, this] {
            const std::uint64_t number = what.m_order.m_number;
            if (local_time(at) > what.m_latest_send || m_instances[at].m_senders[engine] != sender)
            {
                deliver(at, engine, sender, [=](order_sender& to, core::time_point now) {
                    to.on_order_not_sent(number, now);
                });
                return;
            }
            execute(at, engine, sender, what);
        });
    }

    void execute(std::uint64_t at, std::uint64_t engine, const sender_ptr& sender,
                 const send_order& what)
    {
        const bool load = takes_load_slot(what.m_order);
        const bool lost = m_random.below(4) == 0;
        const std::uint64_t number = what.m_order.m_number;
        const core::duration time =
            m_random.below(3) == 0 ? core::duration(order_sender_settings{}.m_max_order_duration)
                                   : m_table.delay(2000);
        m_loads += load ? 1 : 0;
        RC_ASSERT(m_loads <= max_weight_loads);
        m_events.post(m_events.now() + time, [=, this] {
            m_loads -= load ? 1 : 0;
            const bool refused = !take_effect(m_engines[engine], what);
            if (lost)
            {
                return;
            }
            deliver(at, engine, sender, [=](order_sender& to, core::time_point now) {
                refused ? to.on_fence_refused(number, now)
                        : to.on_order_answered(number, true, now);
            });
        });
        if (lost)
        {
            m_events.post(m_events.now() + m_table.delay(2500), [=, this] {
                deliver(at, engine, sender, [=](order_sender& to, core::time_point now) {
                    to.on_order_lost(number, now);
                });
            });
        }
    }

    /// Applies an order to an engine; returns false when the engine refuses its fencing number.
    bool take_effect(fake_engine& engine, const send_order& what)
    {
        if (m_checks_fence && what.m_fence < engine.m_seen_fence)
        {
            return false;
        }
        // No order takes effect after a later holder has sent an order or read the state.
        RC_ASSERT(what.m_fence >= engine.m_seen_fence);
        RC_ASSERT(what.m_fence >= engine.m_synced_fence);
        engine.m_seen_fence = what.m_fence;
        ++m_effects;
        if (what.m_order.m_kind == order_kind::change_role)
        {
            engine.m_state.m_role = what.m_order.m_role;
            return true;
        }
        engine.m_state.m_model = what.m_order.m_model;
        engine.m_state.m_version = what.m_order.m_version;
        return true;
    }

    void carry_out(std::uint64_t at, std::uint64_t engine, const sender_ptr& sender,
                   const read_engine& what)
    {
        const bool lost = m_random.below(5) == 0;
        m_events.post(m_events.now() + m_table.delay(50), [=, this] {
            fake_engine& read = m_engines[engine];
            read.m_synced_fence = std::max(read.m_synced_fence, what.m_fence);
            if (m_checks_fence)
            {
                read.m_seen_fence = std::max(read.m_seen_fence, what.m_fence);
            }
            const engine_state state = read.m_state;
            deliver(at, engine, sender, [=](order_sender& to, core::time_point now) {
                lost ? to.on_engine_state_failed(what.m_number, now)
                     : to.on_engine_state(what.m_number, state, now);
            });
        });
    }

    void carry_out(std::uint64_t, std::uint64_t, const sender_ptr&, const order_ended&) {}
    void carry_out(std::uint64_t, std::uint64_t, const sender_ptr&, const engine_observed&) {}

    core::seeded_random m_random; ///< Source of all random choices.
    bool m_checks_fence;          ///< Whether engines refuse old fencing numbers.
    event_queue m_events;         ///< Events, in the simulation's global time.
    fake_table m_table;
    std::array<fake_instance, instance_count> m_instances;
    std::array<fake_engine, engine_count> m_engines;
    std::uint64_t m_numbers = 0; ///< Last number given to an order or incarnation.
    std::uint64_t m_loads = 0;   ///< Weight loads in progress.
};

} // namespace tarragontrail::testing
