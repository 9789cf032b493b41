#include "unit_tests/membership/fake_fleet.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using membership::liveness;

namespace {

/// Whether all other running instances report the subject in this state.
bool all_report(const test::fake_fleet& fleet, std::size_t subject, liveness state)
{
    const core::instance_id id = fleet.m_instances[subject].m_member.m_id;
    return std::all_of(fleet.m_instances.begin(), fleet.m_instances.end(), [&](const auto& each) {
        return !each.m_up || each.m_member.m_id == id || each.m_detector->state_of(id) == state;
    });
}

/// Whether any running instance reports the subject in this state.
bool any_reports(const test::fake_fleet& fleet, std::size_t subject, liveness state)
{
    const core::instance_id id = fleet.m_instances[subject].m_member.m_id;
    return std::any_of(fleet.m_instances.begin(), fleet.m_instances.end(), [&](const auto& each) {
        return each.m_up && each.m_detector->state_of(id) == state;
    });
}

std::uint64_t failures_seen(const test::fake_fleet& fleet)
{
    std::uint64_t seen = 0;
    for (const test::instance& each : fleet.m_instances)
    {
        seen += each.m_failures_seen;
    }
    return seen;
}

void start_all(test::fake_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.m_instances.size(); ++i)
    {
        fleet.start(i);
    }
    fleet.run_for(15s);
}

} // namespace

/// Accuracy under message loss, completeness after crashes, refutation after pauses.
class failure_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_detector_test);
    CPPUNIT_TEST(loss_of_a_fifth_declares_nobody_failed);
    CPPUNIT_TEST(crash_is_declared_within_seconds);
    CPPUNIT_TEST(paused_process_refutes_after_resuming);
    CPPUNIT_TEST(partitioned_regions_find_each_other_again);
    CPPUNIT_TEST(refutation_count_that_cannot_grow_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void loss_of_a_fifth_declares_nobody_failed()
    {
        for (const std::size_t count : {4U, 8U, 32U})
        {
            test::fake_fleet fleet(42 + count, count);
            fleet.m_loss = 0.2;
            fleet.m_duplicated = 0.05;
            start_all(fleet);
            fleet.run_for(600s);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, failures_seen(fleet));
        }
    }

    void crash_is_declared_within_seconds()
    {
        CPPUNIT_ASSERT(rc::check("crashed members are reported as failed", [] {
            const auto count = *rc::gen::inRange<std::size_t>(4, 33);
            test::fake_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), count);
            fleet.m_loss = *rc::gen::element(0.0, 0.2);
            start_all(fleet);
            const auto victim = *rc::gen::inRange<std::size_t>(0, count);
            // The platform's list still names the victim, so that only the detector can report the
            // failure.
            fleet.m_list_lag = 60s;
            fleet.crash(victim);
            fleet.run_for(15s);
            RC_ASSERT(all_report(fleet, victim, liveness::failed));
        }));
    }

    void paused_process_refutes_after_resuming()
    {
        CPPUNIT_ASSERT(rc::check("a resumed process is reported as alive", [] {
            const auto count = *rc::gen::inRange<std::size_t>(4, 17);
            test::fake_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), count);
            fleet.m_loss = *rc::gen::element(0.0, 0.2);
            start_all(fleet);
            const auto paused = *rc::gen::inRange<std::size_t>(0, count);
            fleet.pause(paused);
            fleet.run_for(std::chrono::seconds(*rc::gen::inRange(3, 40)));
            fleet.resume(paused);
            fleet.run_for(20s);
            // Under message loss, suspicions may still come and go.
            const bool lossless = fleet.m_loss == 0.0;
            RC_ASSERT((all_report(fleet, paused, liveness::alive) ||
                       (!lossless && !any_reports(fleet, paused, liveness::failed))));
            const auto view = fleet.m_instances[paused].m_view_synchronizer->current();
            RC_ASSERT(view->find(fleet.m_instances[paused].m_member.m_id) != nullptr);
        }));
    }

    /// Nobody could refute it, and the next count would wrap to a lower one.
    void refutation_count_that_cannot_grow_is_ignored()
    {
        constexpr core::instance_id self{1};
        constexpr core::instance_id peer{2};
        constexpr core::incarnation started{5};
        membership::failure_detector detector({}, {}, self, started, 3);
        detector.set_members({peer});
        detector.start({});
        constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
        const auto hear = [&](core::instance_id about, std::uint64_t refutation) {
            membership::ping message;
            message.m_sender = peer;
            message.m_members = {
                {about, started, refutation, static_cast<std::uint64_t>(liveness::failed)}};
            detector.on_ping(message, {});
        };
        hear(self, largest);
        CPPUNIT_ASSERT(detector.state_of(self) == liveness::alive);
        hear(peer, largest);
        CPPUNIT_ASSERT(detector.state_of(peer) == liveness::alive);
        hear(peer, largest - 1);
        CPPUNIT_ASSERT(detector.state_of(peer) == liveness::failed);
    }

    void partitioned_regions_find_each_other_again()
    {
        test::fake_fleet fleet(7, 12);
        start_all(fleet);
        fleet.m_regions_partitioned = true;
        fleet.run_for(100s);
        CPPUNIT_ASSERT(fleet.m_instances[0].m_detector->state_of(
                           fleet.m_instances[1].m_member.m_id) == liveness::failed);
        fleet.m_regions_partitioned = false;
        fleet.run_for(30s);
        for (std::size_t i = 0; i < fleet.m_instances.size(); ++i)
        {
            CPPUNIT_ASSERT(all_report(fleet, i, liveness::alive));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failure_detector_test, "membership");
