#include "call_guard_simulation.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace tarragontrail::idempotency;
using namespace std::chrono_literals;
using core::execution;

namespace {

std::uint64_t g_steps = 0;

void run_simulations(testing::run_faults faults)
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t i = 0; i < 10; ++i)
    {
        testing::call_guard_simulation simulation(seed + i, faults);
        simulation.run();
        g_steps += simulation.steps();
    }
}

} // namespace

/// Each key is executed at most once over instances, restarts and table faults.
class call_guard_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_guard_test);
    CPPUNIT_TEST(table_faults_alone_still_answer_every_key);
    CPPUNIT_TEST(crashes_and_lost_calls_run_each_key_at_most_once);
    CPPUNIT_TEST(changed_request_under_a_key_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void table_faults_alone_still_answer_every_key()
    {
        CPPUNIT_ASSERT(rc::check("table faults alone", [] { run_simulations({false, false}); }));
    }

    void crashes_and_lost_calls_run_each_key_at_most_once()
    {
        CPPUNIT_ASSERT(rc::check("crashes and lost calls", [] { run_simulations({true, true}); }));
        fmt::print("call_guard_test: {} events\n", g_steps);
    }

    void changed_request_under_a_key_is_refused()
    {
        const core::time_point now{};
        call_guard guard({}, core::instance_id{1}, core::incarnation{1}, 1);
        guard.begin({core::request_id{1}, core::workspace_id{1}, "k", 1, now + 1s}, now);
        guard.begin({core::request_id{2}, core::workspace_id{1}, "k", 2, now + 1s}, now);
        const auto actions = guard.take_actions();
        const refuse refused = std::get<refuse>(actions.at(0));
        CPPUNIT_ASSERT(refused.m_request == core::request_id{2});
        CPPUNIT_ASSERT(refused.m_execution == execution::not_run);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{422}, status_of(refused.m_reason));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(call_guard_test, "idempotency");
