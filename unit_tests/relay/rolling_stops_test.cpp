#include "unit_tests/relay/rolling_stops_fleet.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;
using namespace tarragontrail::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t instance_count = 7;
constexpr std::size_t engine_count = 12;
constexpr std::chrono::milliseconds lease = 3s;
/// A request must not begin on weights for which newer ones were named so long ago.
constexpr std::chrono::milliseconds weights_limit = 10s;
/// A roll-out may take so much longer for each change of holder.
constexpr std::chrono::milliseconds cost_of_change = 1s;

/// One deployment and what happens to it.
struct scenario
{
    bool m_check_fences = false;
    std::chrono::milliseconds m_store_delay{10};
    std::chrono::milliseconds m_stop_gap{}; ///< Between planned stops; zero for none.
    std::size_t m_stopped_at_once = 1;

    std::string text() const
    {
        return fmt::format("fences {}, store {} ms, gap {} ms, {} at once", m_check_fences,
                           m_store_delay.count(), m_stop_gap.count(), m_stopped_at_once);
    }
};

void plan_stops(rolling_stops_fleet& fleet, const scenario& played)
{
    if (played.m_stop_gap == 0ms)
    {
        return;
    }
    std::chrono::milliseconds time = 3s;
    for (std::size_t i = 0; i < instance_count; i += played.m_stopped_at_once)
    {
        for (std::size_t each = i; each < std::min(i + played.m_stopped_at_once, instance_count);
             ++each)
        {
            fleet.at(time, [&fleet, each] { fleet.stop(each); });
        }
        time += played.m_stop_gap;
    }
}

/// No engine gets orders of two holders within a lease, or a lower fence after a higher one.
void check_order_rules(const rolling_stops_fleet& fleet, const std::string& name)
{
    for (const std::vector<received_order>& orders : fleet.orders())
    {
        for (std::size_t i = 1; i < orders.size(); ++i)
        {
            const received_order& before = orders[i - 1];
            CPPUNIT_ASSERT_MESSAGE(name, orders[i].m_fence >= before.m_fence);
            CPPUNIT_ASSERT_MESSAGE(name, orders[i].m_instance == before.m_instance ||
                                             orders[i].m_at - before.m_at >= lease);
        }
    }
}

} // namespace

/// Roll-outs of weights while instances are stopped in turn.
class rolling_stops_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rolling_stops_test);
    CPPUNIT_TEST(planned_stops_cost_a_roll_out_a_second_per_change_of_holder);
    CPPUNIT_TEST(killed_holder_is_replaced_within_the_limit_without_fences);
    CPPUNIT_TEST(holder_without_work_gives_the_duty_back_at_once);
    CPPUNIT_TEST(restarted_holder_does_not_count_as_alive);
    CPPUNIT_TEST(holder_that_the_store_turns_away_is_replaced_within_a_second);
    CPPUNIT_TEST_SUITE_END();

    /// Time until all engines have the second and the third version.
    static std::array<std::chrono::milliseconds, 2> play(const scenario& played,
                                                         std::size_t& changes)
    {
        rolling_stops_fleet fleet(instance_count, engine_count, played.m_check_fences,
                                  played.m_store_delay);
        plan_stops(fleet, played);
        fleet.at(2s, [&fleet] { fleet.name_weights(2); });
        fleet.at(7'500ms, [&fleet] { fleet.name_weights(3); });
        fleet.run_until(40s);
        changes = fleet.holder_changes();
        check_order_rules(fleet, played.text());
        return {fleet.time_to_all(2), fleet.time_to_all(3)};
    }

public:
    void planned_stops_cost_a_roll_out_a_second_per_change_of_holder()
    {
        for (const bool check_fences : {false, true})
        {
            for (const auto store_delay : {10ms, 400ms})
            {
                std::size_t changes = 0;
                const auto calm = play({check_fences, store_delay, 0ms, 1}, changes);
                for (const auto gap : {500ms, 1'000ms, 1'600ms, 2'000ms, 3'000ms})
                {
                    for (const std::size_t at_once : {1U, 2U})
                    {
                        const scenario played{check_fences, store_delay, gap, at_once};
                        const auto times = play(played, changes);
                        const auto allowed =
                            cost_of_change *
                            static_cast<std::int64_t>(std::max<std::size_t>(changes, 1));
                        for (std::size_t i = 0; i < times.size(); ++i)
                        {
                            CPPUNIT_ASSERT_MESSAGE(
                                fmt::format("{}: {} ms, calm {} ms, {} changes", played.text(),
                                            times[i].count(), calm[i].count(), changes),
                                times[i] <= calm[i] + allowed && times[i] < weights_limit);
                        }
                    }
                }
            }
        }
    }

    /// Nothing tells a successor what a killed holder has ordered.
    void killed_holder_is_replaced_within_the_limit_without_fences()
    {
        for (const auto killed_at : {2'100ms, 2'700ms, 3'500ms})
        {
            rolling_stops_fleet fleet(instance_count, engine_count, false, 10ms);
            fleet.at(2s, [&fleet] { fleet.name_weights(2); });
            fleet.at(killed_at, [&fleet] { fleet.kill_holder(); });
            fleet.at(killed_at + 300ms, [&fleet] { fleet.stop(1); });
            fleet.run_until(30s);
            check_order_rules(fleet, "killed holder");
            CPPUNIT_ASSERT(fleet.time_to_all(2) < weights_limit);
        }
    }

    /// The next roll-out begins at another instance while the last holder still drains.
    void holder_without_work_gives_the_duty_back_at_once()
    {
        for (const bool check_fences : {false, true})
        {
            rolling_stops_fleet fleet(instance_count, engine_count, check_fences, 10ms);
            fleet.at(2s, [&fleet] { fleet.name_weights(2); });
            fleet.at(10s, [&fleet] { fleet.stop(0); });
            fleet.at(11s, [&fleet] { fleet.name_weights(3); });
            fleet.run_until(30s);
            check_order_rules(fleet, "idle holder");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.holder_changes());
            CPPUNIT_ASSERT(fleet.time_to_all(3) <= fleet.time_to_all(2) + cost_of_change);
        }
    }

    /// It is heard again before its silence is noticed.
    void restarted_holder_does_not_count_as_alive()
    {
        rolling_stops_fleet fleet(instance_count, engine_count, true, 10ms);
        fleet.at(2s, [&fleet] { fleet.name_weights(2); });
        fleet.at(2'300ms, [&fleet] { fleet.kill_holder(); });
        fleet.run_until(30s);
        // Silence would be noticed after a second; the roll-out itself takes less than four.
        CPPUNIT_ASSERT(fleet.time_to_all(2) < 5s);
    }

    /// Its lease has run out, and it tells others by its heartbeats that the store refuses it.
    void holder_that_the_store_turns_away_is_replaced_within_a_second()
    {
        rolling_stops_fleet fleet(instance_count, engine_count, false, 10ms);
        fleet.at(2s, [&fleet] { fleet.name_weights(2); });
        fleet.at(2'200ms, [&fleet] { fleet.refuse_holder(); });
        // No engine has an order of the first holder within the lease any more.
        fleet.at(7'500ms, [&fleet] { fleet.name_weights(3); });
        fleet.run_until(30s);
        check_order_rules(fleet, "refused holder");
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms, then {} ms", fleet.time_to_all(2).count(),
                                           fleet.time_to_all(3).count()),
                               fleet.time_to_all(3) <= fleet.time_to_all(2) + cost_of_change);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rolling_stops_test, "relay");
