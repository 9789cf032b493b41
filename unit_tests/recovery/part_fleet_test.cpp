#include "unit_tests/recovery/part_fleet_simulation.hpp"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace tarragontrail::recovery;
using namespace std::chrono_literals;

namespace {

/// Requests of a part that reached engines from 3 s after its fifth crash on.
std::size_t reached_late(const std::vector<core::time_point>& crashes,
                         const std::vector<core::time_point>& reached)
{
    if (crashes.size() < 5)
    {
        return 0;
    }
    const core::time_point limit = crashes[4] + 3s;
    return static_cast<std::size_t>(std::count_if(
        reached.begin(), reached.end(), [&](core::time_point at) { return at >= limit; }));
}

/// Bounds of a fleet's run beside those that hold for each.
struct part_fleet_bounds
{
    /// Crashes by requests that were sent after a part's first crash was known.
    std::uint64_t m_later_crashes = ~std::uint64_t{0};
    core::duration m_hold = core::duration::max();        ///< Of requests without a deadly part.
    core::duration m_shared_hold = core::duration::max(); ///< Of requests with shared parts only.
};

void check_fleet(std::uint64_t seed, const part_fleet_options& options,
                 const part_fleet_bounds& bounds)
{
    const part_fleet_result seen = part_fleet_simulation(seed, options).run();
    RC_ASSERT(seen.m_served > 0U);
    RC_ASSERT(seen.m_sound_refused == 0U);
    RC_ASSERT(seen.m_innocent_quarantines == 0U);
    RC_ASSERT(seen.m_sound_unfinished == 0U);
    RC_ASSERT(seen.m_longest_hold <= bounds.m_hold);
    RC_ASSERT(seen.m_longest_shared_hold <= bounds.m_shared_hold);
    for (const auto& [part, crashes] : seen.m_crashes)
    {
        const auto reached = seen.m_reached.find(part);
        RC_ASSERT(reached == seen.m_reached.end() || reached_late(crashes, reached->second) <= 3U);
        const auto later = seen.m_later_crashes.find(part);
        RC_ASSERT(later == seen.m_later_crashes.end() || later->second <= bounds.m_later_crashes);
    }
}

/// Size and load of a fleet, drawn from its seed.
part_fleet_options drawn_options(std::uint64_t seed, const part_fleet_options& faults)
{
    core::seeded_random random(seed);
    part_fleet_options options = faults;
    options.m_instances = 5 + random.below(5);
    options.m_engines = 10 + random.below(5);
    options.m_requests_per_second = random.below(2) == 0 ? 80 : 200;
    options.m_deadly_share *= random.below(2) == 0 ? 1 : 0.4;
    options.m_restarts = std::min(options.m_restarts, options.m_instances);
    options.m_is_deadly_first = random.below(2) == 0;
    return options;
}

/// Runs fleets of different sizes and loads.
void run_fleets(const char* name, const part_fleet_options& faults, const part_fleet_bounds& bounds)
{
    CPPUNIT_ASSERT(rc::check(name, [&] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        check_fleet(seed, drawn_options(seed, faults), bounds);
    }));
}

/// Runs the fleets of seeds that broke a bound once.
void repeat_fleets(const std::vector<std::uint64_t>& seeds, const part_fleet_options& faults,
                   const part_fleet_bounds& bounds)
{
    for (const std::uint64_t seed : seeds)
    {
        CPPUNIT_ASSERT(rc::check(fmt::format("seed {}", seed),
                                 [&] { check_fleet(seed, drawn_options(seed, faults), bounds); }));
    }
}

constexpr std::uint64_t all_instances = 100;
/// A held request without a deadly part waits no longer than a trial takes.
constexpr core::duration trial_time = part_attribution_settings{}.m_trial_lifetime;

} // namespace

/// Fleets find deadly parts at the cost of few engines and refuse no others.
class part_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(part_fleet_test);
    CPPUNIT_TEST(deadly_part_costs_two_engines_after_its_first_crash_is_known);
    CPPUNIT_TEST(trials_of_two_instances_at_once_cost_no_third_engine);
    CPPUNIT_TEST(two_deadly_parts_are_refused);
    CPPUNIT_TEST(lost_failure_domains_quarantine_no_part);
    CPPUNIT_TEST(deadly_parts_beside_a_lost_failure_domain_are_refused);
    CPPUNIT_TEST(innocent_part_in_flight_beside_a_lost_failure_domain_is_served);
    CPPUNIT_TEST(deadly_part_is_refused_after_a_restart_of_all_instances);
    CPPUNIT_TEST(deadly_part_is_refused_after_a_restart_of_some_instances);
    CPPUNIT_TEST(deadly_parts_are_refused_although_messages_are_lost);
    CPPUNIT_TEST(part_that_turns_deadly_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void deadly_part_costs_two_engines_after_its_first_crash_is_known()
    {
        run_fleets("one deadly part", {}, {2, trial_time, 100ms});
    }

    void trials_of_two_instances_at_once_cost_no_third_engine()
    {
        repeat_fleets({1938060268, 3506, 142499185364}, {}, {2, trial_time, 100ms});
    }

    void two_deadly_parts_are_refused()
    {
        part_fleet_options faults;
        faults.m_deadly_parts = 2;
        run_fleets("two deadly parts", faults, {});
    }

    void lost_failure_domains_quarantine_no_part()
    {
        part_fleet_options faults;
        faults.m_deadly_share = 0;
        faults.m_lost_domains = 2;
        run_fleets("lost domains", faults, {0, trial_time, core::duration::max()});
    }

    void deadly_parts_beside_a_lost_failure_domain_are_refused()
    {
        part_fleet_options faults;
        faults.m_deadly_parts = 2;
        faults.m_lost_domains = 1;
        run_fleets("two deadly parts, lost domain", faults, {});
    }

    void innocent_part_in_flight_beside_a_lost_failure_domain_is_served()
    {
        part_fleet_options faults;
        faults.m_deadly_parts = 2;
        faults.m_lost_domains = 1;
        repeat_fleets({3574412940151909, 935956460168764311}, faults, {});
    }

    void deadly_part_is_refused_after_a_restart_of_all_instances()
    {
        part_fleet_options faults;
        faults.m_restarts = all_instances;
        run_fleets("restart of all", faults, {});
    }

    void deadly_part_is_refused_after_a_restart_of_some_instances()
    {
        part_fleet_options faults;
        faults.m_restarts = 2;
        run_fleets("restart of some", faults, {});
    }

    void deadly_parts_are_refused_although_messages_are_lost()
    {
        part_fleet_options faults;
        faults.m_deadly_parts = 2;
        faults.m_loses_messages = true;
        run_fleets("lost messages", faults, {});
    }

    void part_that_turns_deadly_is_refused()
    {
        part_fleet_options faults;
        faults.m_is_sound_before = true;
        run_fleets("sound before", faults, {});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(part_fleet_test, "recovery");
