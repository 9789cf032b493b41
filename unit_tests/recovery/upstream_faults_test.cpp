#include "tarragontrail/recovery/connection_health.hpp"
#include "tarragontrail/recovery/retry_budget.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace tarragontrail;
using namespace tarragontrail::recovery;
using namespace std::chrono_literals;

namespace {

const core::upstream_id upstream{1};

/// One upstream behind connections that can go silent; executes the actions of connection_health.
class connection_simulation
{
public:
    explicit connection_simulation(std::uint64_t seed) : m_random(seed), m_health({}, seed)
    {
        open();
    }

    /// Runs for a time. Requests are sent on every open connection; connections are opened while
    /// the circuit allows it.
    void run(core::duration length)
    {
        for (const core::time_point end = m_now + length; m_now < end; m_now += 50ms)
        {
            if (m_health.next_deadline() <= m_now)
            {
                m_health.on_timer(m_now);
            }
            execute_actions();
            if (m_connections.size() < 4 && m_health.allows(upstream))
            {
                open();
            }
            for (const connection_id connection : std::set<connection_id>(m_connections))
            {
                work(connection);
            }
        }
    }

    void silence_connections() { m_silent = m_connections; }

    bool m_upstream_works = true;
    std::uint64_t m_opened_circuits = 0; ///< Number of times that the circuit opened.
    std::uint64_t m_answers = 0;         ///< Number of requests answered.
    connection_health& health() { return m_health; }

private:
    void open()
    {
        const connection_id connection{++m_next};
        if (!m_upstream_works && m_random.unit() < 0.5)
        {
            m_health.on_open_failed(upstream, m_now);
            return;
        }
        m_connections.insert(connection);
        m_health.on_opened(connection, upstream, m_now);
    }

    void work(connection_id connection)
    {
        m_health.on_request(connection, 1s, m_now);
        if (m_upstream_works && !m_silent.contains(connection))
        {
            m_health.on_received(connection, true, m_now);
            ++m_answers;
        }
    }

    void execute_actions()
    {
        for (const health_action& action : m_health.take_actions())
        {
            if (const auto* closed = std::get_if<close_connection>(&action))
            {
                m_connections.erase(closed->m_connection);
            }
            if (const auto* changed = std::get_if<circuit_changed>(&action))
            {
                m_opened_circuits += changed->m_state == circuit_state::open ? 1 : 0;
            }
            if (std::holds_alternative<open_connection>(action))
            {
                open();
            }
        }
    }

    core::seeded_random m_random; ///< Source of all randomness.
    connection_health m_health;   ///< Object under test.
    core::time_point m_now{};
    std::uint64_t m_next = 0; ///< Number of connections opened.
    std::set<connection_id> m_connections;
    std::set<connection_id> m_silent; ///< Connections that do not answer any more.
};

} // namespace

/// connection_health with silent connections and failed upstreams, and retry_budget.
class upstream_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_faults_test);
    CPPUNIT_TEST(silent_connection_is_replaced_without_opening_the_circuit);
    CPPUNIT_TEST(failed_upstream_is_avoided_until_it_recovers);
    CPPUNIT_TEST(retries_stay_within_budget_deadline_and_idempotence);
    CPPUNIT_TEST_SUITE_END();

public:
    void silent_connection_is_replaced_without_opening_the_circuit()
    {
        CPPUNIT_ASSERT(rc::check("silent connections", [] {
            connection_simulation world(*rc::gen::arbitrary<std::uint64_t>());
            for (int i = 0; i < 6; ++i)
            {
                world.run(2s);
                world.silence_connections();
            }
            const std::uint64_t before = world.m_answers;
            world.run(10s);
            RC_ASSERT(world.m_opened_circuits == 0);
            RC_ASSERT(world.m_answers > before);
        }));
    }

    void failed_upstream_is_avoided_until_it_recovers()
    {
        CPPUNIT_ASSERT(rc::check("failed upstream", [] {
            connection_simulation world(*rc::gen::arbitrary<std::uint64_t>());
            world.run(2s);
            world.m_upstream_works = false;
            world.run(60s);
            RC_ASSERT(!world.health().allows(upstream));
            world.m_upstream_works = true;
            world.run(40s);
            RC_ASSERT(world.health().allows(upstream));
            RC_ASSERT(world.m_answers > 0);
        }));
    }

    void retries_stay_within_budget_deadline_and_idempotence()
    {
        CPPUNIT_ASSERT(rc::check("retry budget", [] {
            core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
            core::time_point now{};
            retry_budget_settings settings;
            retry_budget budget(settings, random(), now);
            const std::uint64_t instances = 1 + random.below(380);
            budget.on_instance_count(instances, now);
            double requests = 0;
            double retries = 0;
            for (int i = 0; i < 2000; ++i)
            {
                now += std::chrono::milliseconds(random.below(20));
                requests += 1;
                budget.on_request();
                const failed_attempt attempt{1 + random.below(5), random.below(2) == 0,
                                             core::execution(random.below(3)),
                                             now + std::chrono::milliseconds(random.below(500)),
                                             std::chrono::milliseconds(random.below(200))};
                const retry_decision decision = budget.decide(attempt, now);
                const auto* granted = std::get_if<retry>(&decision);
                if (granted == nullptr)
                {
                    continue;
                }
                retries += 1;
                RC_ASSERT(attempt.m_idempotent || attempt.m_execution == core::execution::not_run);
                RC_ASSERT(now + granted->m_after + attempt.m_expected <= attempt.m_deadline);
                RC_ASSERT(attempt.m_attempt < settings.m_max_attempts);
                const std::chrono::duration<double> passed = now - core::time_point{};
                RC_ASSERT(retries <= requests * settings.m_ratio + 1e-6 +
                                         passed.count() * settings.m_fleet_floor_per_second /
                                             static_cast<double>(instances));
            }
            RC_ASSERT(retries > 0);
        }));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(upstream_faults_test, "recovery");
