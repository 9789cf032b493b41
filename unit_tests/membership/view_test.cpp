#include "tarragontrail/membership/bootstrap_plan.hpp"
#include "tarragontrail/membership/gossip_buffer.hpp"
#include "tarragontrail/membership/locator.hpp"
#include "unit_tests/membership/fake_fleet.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace tarragontrail;
using namespace std::chrono_literals;
using membership::member;
using membership::view;

namespace {

view random_view(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t i = 0; i < count; ++i)
    {
        member named;
        named.m_name = fmt::format("entry-{}", i);
        named.m_region = fmt::format("region-{}", i % 2);
        named.m_failure_domain = fmt::format("domain-{}", i % 6);
        named.m_address = fmt::format("10.0.{}.{}", i / 256, i % 256);
        named.m_ports = {8080, static_cast<std::uint16_t>(8081 + i % 3), 8082};
        named.m_incarnation = core::incarnation{*rc::gen::inRange<std::uint64_t>(1, 9)};
        named.m_state = *rc::gen::weightedElement<membership::member_state>(
            {{5, membership::member_state::live}, {1, membership::member_state::draining}});
        members.push_back(membership::make_member(named));
    }
    return {core::view_number{*rc::gen::inRange<std::uint64_t>(1, 1000)}, members};
}

/// Whether any locate answer of `queried` contains the instance `wanted`.
bool is_located(const test::instance& queried, core::instance_id wanted)
{
    const membership::locator locator{membership::locator_settings{}};
    for (std::uint64_t workspace = 0; workspace < 50; ++workspace)
    {
        const membership::locate_answer answer =
            locator.locate(*queried.m_view_synchronizer->current(), *queried.m_detector,
                           core::workspace_id{workspace}, 3, {{}, {}, workspace});
        for (const membership::location& each : answer.m_locations)
        {
            if (each.m_instance == wanted)
            {
                return true;
            }
        }
    }
    return false;
}

/// Starts or ends a random fault.
void inject_fault(test::fake_fleet& fleet)
{
    const auto victim = *rc::gen::inRange<std::size_t>(0, fleet.m_instances.size());
    test::instance& each = fleet.m_instances[victim];
    switch (*rc::gen::inRange(0, 8))
    {
    case 0:
        each.m_up ? fleet.crash(victim) : fleet.start(victim);
        return;
    case 1:
        each.m_paused ? fleet.resume(victim) : fleet.pause(victim);
        return;
    case 2:
        fleet.m_platform.m_table_up = !fleet.m_platform.m_table_up;
        return;
    case 3:
        fleet.m_regions_partitioned = !fleet.m_regions_partitioned;
        return;
    case 4:
        fleet.m_platform.m_reply_loss_rate = *rc::gen::element(0.0, 0.3);
        return;
    case 5:
        fleet.m_loss = *rc::gen::element(0.0, 0.2);
        return;
    default:
        return;
    }
}

/// Ends all faults and restarts stopped instances.
void clear_faults(test::fake_fleet& fleet)
{
    fleet.m_platform.m_table_up = true;
    fleet.m_platform.m_reply_loss_rate = 0.0;
    fleet.m_regions_partitioned = false;
    fleet.m_loss = 0.0;
    for (std::size_t i = 0; i < fleet.m_instances.size(); ++i)
    {
        fleet.m_instances[i].m_paused ? fleet.resume(i) : void();
        fleet.m_instances[i].m_up ? void() : fleet.start(i);
    }
}

} // namespace

/// View agreement, owners, homes, locate answers, gossip limits and the bootstrap plan.
class view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(view_test);
    CPPUNIT_TEST(text_round_trip_keeps_owners_and_homes);
    CPPUNIT_TEST(removal_moves_only_the_removed_members_shards);
    CPPUNIT_TEST(faults_never_fork_or_lower_the_view);
    CPPUNIT_TEST(isolated_instance_neither_empties_nor_churns_the_view);
    CPPUNIT_TEST(leaving_instance_stops_being_located);
    CPPUNIT_TEST(thundering_herd_of_starts_costs_few_writes);
    CPPUNIT_TEST(locate_spreads_callers_over_near_homes);
    CPPUNIT_TEST(old_view_numbers_are_refused);
    CPPUNIT_TEST(gossip_stays_within_its_bounds);
    CPPUNIT_TEST(bootstrap_plan_falls_back_and_bounds_peers);
    CPPUNIT_TEST_SUITE_END();

public:
    void text_round_trip_keeps_owners_and_homes()
    {
        CPPUNIT_ASSERT(rc::check("a view is the same after serialization", [] {
            const view written = random_view(*rc::gen::inRange<std::size_t>(0, 40));
            const view read = membership::parse_view(membership::serialise(written));
            RC_ASSERT(read.number() == written.number());
            RC_ASSERT(read.members() == written.members());
            const auto shard = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<const member*> homes = read.homes_of(shard, 4);
            const member* owner = written.owner_of(shard);
            RC_ASSERT((owner == nullptr) == homes.empty());
            RC_ASSERT((owner == nullptr || *owner == *homes.front()));
            std::set<core::region_id> home_regions;
            std::set<core::region_id> live_regions;
            for (const member* home : homes)
            {
                home_regions.insert(home->m_region_id);
            }
            for (const member& each : read.members())
            {
                if (each.m_state == membership::member_state::live)
                {
                    live_regions.insert(each.m_region_id);
                }
            }
            RC_ASSERT(home_regions == live_regions);
        }));
        CPPUNIT_ASSERT_THROW(membership::parse_view("{\"number\":1}"), membership::view_error);
    }

    void removal_moves_only_the_removed_members_shards()
    {
        CPPUNIT_ASSERT(rc::check("only the shards of the removed member move", [] {
            const view before = random_view(*rc::gen::inRange<std::size_t>(2, 40));
            std::vector<member> members = before.members();
            const auto index = *rc::gen::inRange<std::size_t>(0, members.size());
            const core::instance_id removed = members[index].m_id;
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
            const view after(core::view_number{2000}, members);
            const core::region_id region = before.members()[0].m_region_id;
            for (std::uint64_t shard = 0; shard < 50; ++shard)
            {
                const member* old_owner = before.owner_of(shard, region);
                const member* new_owner = after.owner_of(shard, region);
                RC_ASSERT((old_owner == nullptr || old_owner->m_id == removed ||
                           old_owner->m_id == new_owner->m_id));
            }
        }));
    }

    void faults_never_fork_or_lower_the_view()
    {
        CPPUNIT_ASSERT(rc::check("one row per number, numbers only grow, views converge", [] {
            test::fake_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), 8);
            std::map<core::view_number, std::string> rows;
            std::vector<std::pair<std::uint64_t, core::view_number>> last(8);
            for (std::size_t i = 0; i < 8; ++i)
            {
                fleet.start(i);
            }
            for (int step = 0; step < 60; ++step)
            {
                inject_fault(fleet);
                fleet.run_for(2s);
                for (std::size_t i = 0; i < 8; ++i)
                {
                    const test::instance& each = fleet.m_instances[i];
                    const auto installed = each.m_view_synchronizer->current();
                    const std::string row = membership::serialise(*installed);
                    RC_ASSERT(rows.emplace(installed->number(), row).first->second == row);
                    RC_ASSERT((last[i].first != each.m_generation ||
                               installed->number() >= last[i].second));
                    last[i] = {each.m_generation, installed->number()};
                }
            }
            clear_faults(fleet);
            fleet.run_for(60s);
            for (const test::instance& each : fleet.m_instances)
            {
                RC_ASSERT(each.m_view_synchronizer->current()->number() ==
                          fleet.m_instances[0].m_view_synchronizer->current()->number());
                RC_ASSERT(each.m_view_synchronizer->current()->members().size() == 8U);
            }
        }));
    }

    void isolated_instance_neither_empties_nor_churns_the_view()
    {
        CPPUNIT_ASSERT(rc::check("an instance that reaches the table but no peer", [] {
            test::fake_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), 8);
            for (std::size_t i = 0; i < 8; ++i)
            {
                fleet.start(i);
            }
            fleet.run_for(30s);
            fleet.m_isolated = {3};
            for (int step = 0; step < 25; ++step)
            {
                fleet.run_for(1s);
                RC_ASSERT(fleet.m_instances[0].m_view_synchronizer->current()->members().size() >=
                          5U);
            }
            const auto settled = fleet.m_instances[0].m_view_synchronizer->current();
            RC_ASSERT(settled->members().size() == 7U);
            fleet.run_for(60s);
            RC_ASSERT(fleet.m_instances[0].m_view_synchronizer->current()->number() ==
                      settled->number());
            fleet.m_isolated.clear();
            fleet.run_for(60s);
            RC_ASSERT(fleet.m_instances[0].m_view_synchronizer->current()->members().size() == 8U);
        }));
    }

    void leaving_instance_stops_being_located()
    {
        CPPUNIT_ASSERT(rc::check("no caller is directed to a leaving instance", [] {
            test::fake_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), 8);
            fleet.m_loss = *rc::gen::element(0.0, 0.2);
            for (std::size_t i = 0; i < 8; ++i)
            {
                fleet.start(i);
            }
            fleet.run_for(20s);
            const core::instance_id leaver = fleet.m_instances[3].m_member.m_id;
            RC_ASSERT(fleet.m_instances[0].m_view_synchronizer->current()->find(leaver) != nullptr);
            fleet.mark_leaving(3);
            fleet.run_for(15s);
            for (std::size_t i = 0; i < 8; ++i)
            {
                RC_ASSERT(!is_located(fleet.m_instances[i], leaver));
            }
        }));
    }

    void thundering_herd_of_starts_costs_few_writes()
    {
        test::fake_fleet fleet(42, 100);
        for (std::size_t i = 0; i < 100; ++i)
        {
            fleet.start(i);
        }
        fleet.run_for(30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100},
                             fleet.m_instances[0].m_view_synchronizer->current()->members().size());
        CPPUNIT_ASSERT(fleet.m_platform.m_writes < 100);
    }

    void locate_spreads_callers_over_near_homes()
    {
        test::fake_fleet fleet(42, 12);
        for (std::size_t i = 0; i < 12; ++i)
        {
            fleet.start(i);
        }
        fleet.run_for(20s);
        const test::instance& queried = fleet.m_instances[0];
        const auto workspace = core::id_of<core::workspace_id>("large");
        const core::region_id region = queried.m_member.m_region_id;
        std::map<core::instance_id, int> firsts;
        for (std::uint64_t caller = 0; caller < 600; ++caller)
        {
            const membership::locate_answer answer =
                membership::locator(membership::locator_settings{})
                    .locate(*queried.m_view_synchronizer->current(), *queried.m_detector, workspace,
                            6, {region, {}, caller});
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, answer.m_locations.size());
            ++firsts[answer.m_locations.front().m_instance];
        }
        const auto homes =
            queried.m_view_synchronizer->current()->homes_of(core::value_of(workspace), 6);
        const auto in_region = static_cast<std::size_t>(
            std::count_if(homes.begin(), homes.end(),
                          [&](const member* home) { return home->m_region_id == region; }));
        CPPUNIT_ASSERT_EQUAL(in_region, firsts.size());
        for (const auto& [home, count] : firsts)
        {
            CPPUNIT_ASSERT(count * static_cast<int>(in_region) > 300);
        }
    }

    void old_view_numbers_are_refused()
    {
        CPPUNIT_ASSERT(rc::check("a number is accepted only when none higher was seen", [] {
            membership::view_synchronizer synchronizer({}, core::instance_id{1}, 1);
            std::uint64_t highest = 0;
            for (const auto number : *rc::gen::arbitrary<std::vector<std::uint8_t>>())
            {
                RC_ASSERT(synchronizer.accept_view_number(core::view_number{number}) ==
                          (number >= highest));
                highest = std::max<std::uint64_t>(highest, number);
            }
        }));
    }

    void gossip_stays_within_its_bounds()
    {
        CPPUNIT_ASSERT(rc::check("items, bytes and transmissions are bounded", [] {
            membership::gossip_buffer_settings settings;
            settings.m_max_items = 20;
            membership::gossip_buffer buffer(settings);
            std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> sent;
            for (std::uint64_t i = 0; i < 200; ++i)
            {
                const auto key = *rc::gen::inRange<std::uint64_t>(0, 40);
                buffer.add({1, key, i, std::string(i % 200, 'x')});
                std::size_t bytes = 0;
                for (const membership::gossip_item& item : buffer.take(300, 32))
                {
                    bytes += membership::encoded_bytes(item);
                    ++sent[{item.m_key, item.m_order}];
                }
                RC_ASSERT(bytes <= 300U);
                RC_ASSERT(buffer.pending_count() <= 20U);
            }
            for (const auto& [item, count] : sent)
            {
                RC_ASSERT(count <= membership::transmit_limit(3, 32));
            }
        }));
        membership::gossip_buffer buffer({});
        CPPUNIT_ASSERT_THROW(buffer.add({1, 1, 1, std::string(257, 'x')}),
                             membership::gossip_error);
    }

    void bootstrap_plan_falls_back_and_bounds_peers()
    {
        CPPUNIT_ASSERT(rc::check("every resource is fetched although sources fail", [] {
            test::event_queue time(*rc::gen::arbitrary<std::uint64_t>());
            const auto resources = *rc::gen::inRange<std::uint64_t>(1, 12);
            std::vector<membership::resource_id> wanted;
            for (std::uint64_t i = 0; i < resources; ++i)
            {
                wanted.push_back(membership::resource_id{i});
            }
            membership::bootstrap_plan plan({}, wanted, time.m_random());
            const bool store_works = *rc::gen::arbitrary<bool>();
            plan.set_peers({core::instance_id{1}, core::instance_id{2}, core::instance_id{3}});
            plan.start(time.now());
            RC_ASSERT(plan.level(false) == membership::service_level::open_routes);
            RC_ASSERT(plan.level(true) == membership::service_level::keyed_routes);
            while (plan.next_deadline())
            {
                RC_ASSERT(time.now().time_since_epoch() < std::chrono::hours(1) + 120s);
                time.run_for(100ms);
                plan.on_timer(time.now());
                for (const auto& action : plan.take_actions())
                {
                    const auto* peer = std::get_if<membership::fetch_from_peer>(&action);
                    const auto* store = std::get_if<membership::fetch_from_store>(&action);
                    const bool works =
                        peer != nullptr ? !store_works && time.chance(0.3) : store_works;
                    const auto resource = peer != nullptr ? peer->m_resource : store->m_resource;
                    const auto attempt = peer != nullptr ? peer->m_attempt : store->m_attempt;
                    works ? plan.on_fetched(resource)
                          : plan.on_fetch_failed(resource, attempt, time.now());
                }
            }
            RC_ASSERT(plan.level(true) == membership::service_level::complete);
        }));
        membership::bootstrap_plan plan({}, {}, 1);
        for (int i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(plan.begin_peer_fetch());
        }
        CPPUNIT_ASSERT(!plan.begin_peer_fetch());
        plan.end_peer_fetch();
        CPPUNIT_ASSERT(plan.begin_peer_fetch());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(view_test, "membership");
