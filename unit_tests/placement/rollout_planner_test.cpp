#include "tarragontrail/core/random.hpp"
#include "tarragontrail/placement/rollout_planner.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace tarragontrail::placement;

namespace {

/// Simulates engines that drain, load and fail while the desired state changes.
class planner_simulation
{
public:
    explicit planner_simulation(std::uint64_t seed)
        : m_random(seed), m_step_fraction(m_random.unit())
    {
        for (std::uint64_t i = 1; i <= 12; ++i)
        {
            const engine_state state{core::model_id{1 + i % 2}, weights_version{1}, {}, {}};
            m_desired.push_back({core::upstream_id{i}, state});
            m_engines.push_back({core::upstream_id{i}, state, true, false, false, 3, 0});
        }
    }

    void run()
    {
        for (int i = 0; i < 400; ++i)
        {
            if (i < 200 && m_random.below(40) == 0)
            {
                change_desired();
            }
            m_loads_fail = i < 200 && m_random.below(10) == 0;
            step();
        }
        for (std::size_t i = 0; i < m_engines.size(); ++i)
        {
            RC_ASSERT(!m_engines[i].m_draining);
            RC_ASSERT(m_aborted || m_engines[i].m_state == m_desired[i].m_state);
        }
    }

    /// All loads fail: the roll-out must stop and the engines must keep serving with their weights.
    void run_failing()
    {
        for (desired_engine& engine : m_desired)
        {
            engine.m_state.m_version = weights_version{2};
        }
        m_loads_fail = true;
        for (int i = 0; i < 200; ++i)
        {
            step();
        }
        RC_ASSERT(m_aborted);
        std::uint64_t failures = 0;
        for (const observed_engine& engine : m_engines)
        {
            RC_ASSERT(!engine.m_draining);
            RC_ASSERT(engine.m_state.m_version == weights_version{1});
            failures += engine.m_failed_loads;
        }
        // Loads in progress when the limit is reached may fail too: three of each model's six
        // engines.
        RC_ASSERT(failures <= 2 * (rollout_settings{}.m_max_failures - 1 + 3));
    }

private:
    void change_desired()
    {
        const weights_version version{1 + m_random.below(5)};
        const core::model_id model{1 + m_random.below(2)};
        for (std::size_t i = 0; i < m_desired.size(); ++i)
        {
            if (m_desired[i].m_state.m_model != model)
            {
                continue;
            }
            m_desired[i].m_state = {model,
                                    version,
                                    {core::adapter_id{1 + m_random.below(3)}},
                                    engine_role(m_random.below(3))};
            m_engines[i].m_failed_loads = 0;
        }
    }

    std::uint64_t ready_of(core::model_id model) const
    {
        return static_cast<std::uint64_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const observed_engine& e) {
                return e.m_alive && !e.m_draining && e.m_state.m_model == model;
            }));
    }

    void step()
    {
        m_aborted = false;
        for (const rollout_step& what :
             plan_rollout({m_step_fraction, 0.5, 2}, m_desired, m_engines))
        {
            std::visit([&](const auto& found) { carry_out(found); }, what);
        }
        RC_ASSERT(ready_of(core::model_id{1}) >= 3);
        RC_ASSERT(ready_of(core::model_id{2}) >= 3);
        for (observed_engine& engine : m_engines)
        {
            if (m_random.below(3) == 0)
            {
                advance(engine);
            }
        }
    }

    void advance(observed_engine& engine)
    {
        engine.m_in_flight =
            engine.m_draining ? engine.m_in_flight - std::min<std::uint64_t>(engine.m_in_flight, 1)
                              : 3;
        const auto found = m_orders.find(engine.m_upstream);
        if (found == m_orders.end())
        {
            return;
        }
        const engine_order order = found->second;
        m_orders.erase(found);
        engine.m_order_pending = false;
        if (takes_load_slot(order) && m_loads_fail)
        {
            engine.m_failed_loads += order.m_kind == order_kind::load_model ? 1 : 0;
            return;
        }
        apply(order, engine.m_state);
    }

    static void apply(const engine_order& order, engine_state& state)
    {
        switch (order.m_kind)
        {
        case order_kind::load_model:
            state = {order.m_model, order.m_version, {}, state.m_role};
            return;
        case order_kind::unload_model:
            state = {{}, {}, {}, state.m_role};
            return;
        case order_kind::load_adapter:
            state.m_adapters.push_back(order.m_adapter);
            return;
        case order_kind::unload_adapter:
            std::erase(state.m_adapters, order.m_adapter);
            return;
        case order_kind::change_role:
            state.m_role = order.m_role;
            return;
        }
    }

    observed_engine& find(core::upstream_id id) { return m_engines.at(core::value_of(id) - 1); }

    void carry_out(const drain_engine& what)
    {
        RC_ASSERT(!find(what.m_upstream).m_draining);
        find(what.m_upstream).m_draining = true;
    }
    void carry_out(const admit_engine& what)
    {
        // Prefixes must be hashed with the version that is loaded.
        RC_ASSERT(what.m_version == find(what.m_upstream).m_state.m_version);
        find(what.m_upstream).m_draining = false;
    }
    void carry_out(const submit_order& what)
    {
        observed_engine& engine = find(what.m_upstream);
        RC_ASSERT(!engine.m_order_pending);
        RC_ASSERT(what.m_order.m_kind == order_kind::load_adapter ||
                  (engine.m_draining && engine.m_in_flight == 0));
        engine.m_order_pending = true;
        m_orders.emplace(what.m_upstream, what.m_order);
    }
    void carry_out(const rollout_aborted&) { m_aborted = true; }

    core::seeded_random m_random; ///< Source of all random choices.
    double m_step_fraction;       ///< Fraction of engines changed at once.
    std::vector<desired_engine> m_desired;
    std::vector<observed_engine> m_engines;
    std::map<core::upstream_id, engine_order> m_orders; ///< Orders in progress.
    bool m_loads_fail = false;                          ///< Whether loads currently fail.
    bool m_aborted = false; ///< Whether the last plan aborted a roll-out.
};

} // namespace

/// Roll-outs keep the minimum of engines ready, drain engines before changing them, and finish.
class rollout_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_planner_test);
    CPPUNIT_TEST(changes_reach_every_engine_and_keep_the_minimum_ready);
    CPPUNIT_TEST(failing_loads_stop_the_rollout);
    CPPUNIT_TEST_SUITE_END();

public:
    void changes_reach_every_engine_and_keep_the_minimum_ready()
    {
        CPPUNIT_ASSERT(rc::check(
            "roll-out", [] { planner_simulation(*rc::gen::arbitrary<std::uint64_t>()).run(); }));
    }

    void failing_loads_stop_the_rollout()
    {
        CPPUNIT_ASSERT(rc::check("failing loads", [] {
            planner_simulation(*rc::gen::arbitrary<std::uint64_t>()).run_failing();
        }));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rollout_planner_test, "placement");
