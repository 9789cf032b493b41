#include "tarragontrail/core/bounded_ring.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;

/// Clock, ring buffer and invariant checks.
class core_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(core_test);
    CPPUNIT_TEST(paused_clock_moves_only_by_advance);
    CPPUNIT_TEST(full_ring_refuses_and_keeps_order);
    CPPUNIT_TEST(broken_invariant_throws_and_counts);
    CPPUNIT_TEST_SUITE_END();

public:
    void paused_clock_moves_only_by_advance()
    {
        core::runtime_clock::pause();
        const core::time_point before = core::runtime_clock::now();
        CPPUNIT_ASSERT(before == core::runtime_clock::now());
        core::runtime_clock::advance(std::chrono::seconds(3));
        CPPUNIT_ASSERT(before + std::chrono::seconds(3) == core::runtime_clock::now());
        core::runtime_clock::resume();
    }

    void full_ring_refuses_and_keeps_order()
    {
        core::bounded_ring<int> ring(2);
        CPPUNIT_ASSERT(ring.try_push(1));
        CPPUNIT_ASSERT(ring.try_push(2));
        CPPUNIT_ASSERT(!ring.try_push(3));
        CPPUNIT_ASSERT_EQUAL(1, ring.try_pop().value());
        CPPUNIT_ASSERT(ring.try_push(4));
        CPPUNIT_ASSERT_EQUAL(2, ring.try_pop().value());
        CPPUNIT_ASSERT_EQUAL(4, ring.try_pop().value());
        CPPUNIT_ASSERT(!ring.try_pop().has_value());
    }

    void broken_invariant_throws_and_counts()
    {
        const std::uint64_t before = core::read_invariant_counts().m_violated;
        TARRAGONTRAIL_INVARIANT(1 + 1 == 2, "holds");
        CPPUNIT_ASSERT_THROW(core::check_invariant(false, "broken"), core::invariant_violation);
        CPPUNIT_ASSERT_EQUAL(before + 1, core::read_invariant_counts().m_violated);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(core_test, "core");
