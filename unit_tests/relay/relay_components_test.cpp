#include "tarragontrail/core/random.hpp"
#include "tarragontrail/relay/admission_policy.hpp"
#include "tarragontrail/relay/event_framer.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/route_table.hpp"
#include "tarragontrail/relay/table_mirror.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace tarragontrail::relay;
using namespace std::chrono_literals;

namespace {

relay_config sample_config()
{
    relay_config config;
    config.m_version = 3;
    route wide;
    wide.m_name = "wide";
    wide.m_host = "One.Example";
    wide.m_prefix = "/a/";
    wide.m_targets = {{"x", 90}, {"y", 10}};
    route narrow = wide;
    narrow.m_name = "narrow";
    narrow.m_prefix = "/a/b/";
    config.m_routes = {wide, narrow};
    workspace clinic;
    clinic.m_name = "clinic";
    clinic.m_keys = {"k1", "k2"};
    config.m_workspaces = {clinic};
    return config;
}

fleet_member member(std::uint64_t number, const std::string& domain, const std::string& region)
{
    return {core::instance_id{number},
            core::incarnation{1},
            domain,
            region,
            fmt::format("10.0.0.{}:80", number),
            fmt::format("10.0.0.{}:90", number)};
}

} // namespace

/// Decision logic of the relay that needs no I/O.
class relay_components_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_components_test);
    CPPUNIT_TEST(longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(keys_name_their_workspace);
    CPPUNIT_TEST(targets_are_chosen_by_weight);
    CPPUNIT_TEST(request_late_by_queueing_is_refused_with_retry_after);
    CPPUNIT_TEST(request_late_on_any_upstream_gets_lowest_priority);
    CPPUNIT_TEST(request_that_would_use_up_its_deadline_is_refused);
    CPPUNIT_TEST(events_are_complete_for_any_chunking);
    CPPUNIT_TEST(event_ids_are_parsed);
    CPPUNIT_TEST(copies_converge_for_any_order_of_changes);
    CPPUNIT_TEST(rows_missing_from_a_whole_table_are_deleted);
    CPPUNIT_TEST(callers_get_ready_instances_near_them);
    CPPUNIT_TEST(silent_and_leaving_instances_are_excluded);
    CPPUNIT_TEST_SUITE_END();

public:
    void longest_prefix_of_the_host_wins()
    {
        const route_table table(sample_config());
        CPPUNIT_ASSERT_EQUAL(std::string("narrow"), table.find("one.example:80", "/a/b/c")->m_name);
        CPPUNIT_ASSERT_EQUAL(std::string("wide"), table.find("ONE.example", "/a/bc")->m_name);
        CPPUNIT_ASSERT(table.find("one.example", "/b/") == nullptr);
        CPPUNIT_ASSERT(table.find("two.example", "/a/") == nullptr);
    }

    void keys_name_their_workspace()
    {
        const route_table table(sample_config());
        CPPUNIT_ASSERT_EQUAL(std::string("clinic"), table.workspace_of("k2")->m_name);
        CPPUNIT_ASSERT(table.workspace_of("k3") == nullptr);
        CPPUNIT_ASSERT(table.workspace_of("") == nullptr);
    }

    void targets_are_chosen_by_weight()
    {
        const route_table table(sample_config());
        const route* wide = table.find("one.example", "/a/x");
        std::map<std::string, int> counts;
        for (std::uint64_t draw = 0; draw < 1'000; ++draw)
        {
            ++counts[choose_target(*wide, draw).m_service];
        }
        CPPUNIT_ASSERT_EQUAL(900, counts["x"]);
        CPPUNIT_ASSERT_EQUAL(100, counts["y"]);
    }

    void request_late_by_queueing_is_refused_with_retry_after()
    {
        const admission_policy policy;
        const auto decision = policy.decide({700ms, 600ms, 400ms, 3s, 1});
        const auto* refused = std::get_if<refuse_request>(&decision);
        CPPUNIT_ASSERT(refused != nullptr);
        CPPUNIT_ASSERT(refused->m_retry_after > 0ms && refused->m_retry_after <= 1s);
        const auto in_time = policy.decide({300ms, 200ms, 400ms, 3s, 1});
        CPPUNIT_ASSERT(std::holds_alternative<admit_request>(in_time));
    }

    void request_late_on_any_upstream_gets_lowest_priority()
    {
        const auto decision = admission_policy().decide({700ms, 50ms, 400ms, 3s, 0});
        const auto* admitted = std::get_if<admit_request>(&decision);
        CPPUNIT_ASSERT(admitted != nullptr && admitted->m_misses_objective);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, admitted->m_priority);
    }

    void request_that_would_use_up_its_deadline_is_refused()
    {
        const auto decision = admission_policy().decide({2'950ms, 0ms, 400ms, 3s, 0});
        CPPUNIT_ASSERT(std::holds_alternative<refuse_request>(decision));
    }

    void events_are_complete_for_any_chunking()
    {
        CPPUNIT_ASSERT(rc::check("cuts", [] {
            const std::string end = *rc::gen::element(std::string("\n"), std::string("\r\n"));
            std::vector<std::string> events;
            std::string stream;
            const auto count = *rc::gen::inRange(0, 20);
            for (int i = 0; i < count; ++i)
            {
                events.push_back(fmt::format("id: {}{}data: text {}{}{}", i, end, i, end, end));
                stream += events.back();
            }
            stream += "id: 99" + end + "da";
            event_framer framer;
            std::vector<std::string> seen;
            std::size_t at = 0;
            while (at < stream.size())
            {
                const auto size = *rc::gen::inRange<std::size_t>(1, 30);
                framer.feed(std::string_view(stream).substr(at, size));
                at += size;
                while (const auto event = framer.next())
                {
                    seen.push_back(*event);
                }
            }
            RC_ASSERT(seen == events);
            RC_ASSERT(framer.remainder() == "id: 99" + end + "da");
        }));
    }

    void event_ids_are_parsed()
    {
        CPPUNIT_ASSERT(parse_event_id("id: 12\ndata: x\n\n") == 12);
        CPPUNIT_ASSERT(parse_event_id("note: 3\nid:7\r\ndata: x\r\n\r\n") == 7);
        CPPUNIT_ASSERT(!parse_event_id("data: id: 5\n\n"));
    }

    void copies_converge_for_any_order_of_changes()
    {
        CPPUNIT_ASSERT(rc::check("order", [] {
            const auto count = *rc::gen::inRange<std::uint64_t>(1, 40);
            std::vector<table_row> history;
            for (std::uint64_t version = 1; version <= count; ++version)
            {
                const std::string key = std::to_string(*rc::gen::inRange(0, 5));
                const bool deleted = *rc::gen::inRange(0, 4) == 0;
                history.push_back(
                    {key, deleted ? "" : fmt::format("v{}", version), {0, version}, deleted});
            }
            table_mirror in_order;
            in_order.apply(history);
            // Changes may arrive repeatedly and in any order, also through another instance's copy.
            std::vector<table_row> mixed = history;
            mixed.insert(mixed.end(), history.begin(), history.end());
            core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
            std::shuffle(mixed.begin(), mixed.end(), random);
            table_mirror other;
            for (const table_row& row : mixed)
            {
                other.apply({row});
            }
            RC_ASSERT(other.rows() == in_order.rows());
            RC_ASSERT(other.newest_version() == in_order.newest_version());
        }));
    }

    void rows_missing_from_a_whole_table_are_deleted()
    {
        table_mirror mirror;
        mirror.apply({{"a", "1", {1, 4}, false}, {"b", "2", {1, 9}, false}});
        const auto changes = mirror.replace({{"c", "3", {1, 6}, false}}, {1, 7});
        // Row b is newer than the table that was read.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, mirror.rows().size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), mirror.rows().front().m_key);
    }

    void callers_get_ready_instances_near_them()
    {
        const core::time_point now{1h};
        instance_registry registry(member(1, "d1", "r1"));
        registry.set_own_status({core::incarnation{1}, true, false}, now);
        for (std::uint64_t number = 2; number <= 5; ++number)
        {
            registry.apply(member(number, number < 4 ? "d1" : "d2", "r1"));
            registry.on_status(core::instance_id{number}, {core::incarnation{1}, true, false}, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, registry.addresses_for({"d1", "r1"}, now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, registry.addresses_for({"d2", "r1"}, now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, registry.addresses_for({"d9", "r9"}, now).size());
    }

    void silent_and_leaving_instances_are_excluded()
    {
        const core::time_point now{1h};
        instance_registry registry(member(1, "d1", "r1"));
        registry.set_own_status({core::incarnation{1}, true, false}, now);
        registry.apply(member(2, "d1", "r1"));
        registry.apply(member(3, "d1", "r1"));
        registry.on_status(core::instance_id{2}, {core::incarnation{1}, true, true}, now);
        registry.on_status(core::instance_id{3}, {core::incarnation{1}, true, false}, now - 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.addresses_for({"d1", "r1"}, now).size());
        CPPUNIT_ASSERT(
            registry.on_status(core::instance_id{3}, {core::incarnation{2}, true, false}, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, registry.addresses_for({"d1", "r1"}, now).size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(relay_components_test, "relay");
