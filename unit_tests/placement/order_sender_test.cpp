#include "order_simulation.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <rapidcheck.h>

using namespace tarragontrail;

/// Orders of successive lease holders take effect in the order of their leases.
class order_sender_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_sender_test);
    CPPUNIT_TEST(engines_that_ignore_fences_see_holders_in_order);
    CPPUNIT_TEST(engines_that_check_fences_see_holders_in_order);
    CPPUNIT_TEST_SUITE_END();

public:
    void engines_that_ignore_fences_see_holders_in_order() { run_simulations(false); }
    void engines_that_check_fences_see_holders_in_order() { run_simulations(true); }

private:
    static void run_simulations(bool checks_fence)
    {
        std::uint64_t effects = 0;
        CPPUNIT_ASSERT(rc::check("orders take effect in the order of the leases", [&] {
            testing::order_simulation simulation(*rc::gen::arbitrary<std::uint64_t>(),
                                                 checks_fence);
            simulation.run();
            effects += simulation.m_effects;
        }));
        fmt::print("order_sender_test: {} orders took effect\n", effects);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(order_sender_test, "placement");
