#include "tarragontrail/relay/upstream_selector.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>

using namespace tarragontrail;
using namespace tarragontrail::relay;
using namespace std::chrono_literals;

namespace {

const std::string service_name = "engines";
constexpr std::uint64_t capacity = 136'000;
constexpr core::time_point now{1h};

/// Engines in two regions and the requests that are placed on them.
struct selection_simulation
{
    explicit selection_simulation(std::size_t engines)
    {
        for (std::size_t i = 0; i < engines; ++i)
        {
            upstream_record record;
            record.m_name = fmt::format("e{}", i);
            record.m_id = core::id_of<core::upstream_id>(record.m_name);
            record.m_service = service_name;
            record.m_failure_domain = i % 3 == 0 ? "far" : (i % 3 == 1 ? "near" : "next");
            record.m_region = i % 3 == 0 ? "abroad" : "home";
            record.m_slots = 16;
            record.m_models = {{"m", placement::weights_version{1}}};
            m_table.apply(record, now);
        }
    }

    std::shared_ptr<upstream> engine(std::size_t index)
    {
        return m_table.find(core::id_of<core::upstream_id>(fmt::format("e{}", index)));
    }

    selection_request make_selection_request()
    {
        selection_request request;
        request.m_service = &service_name;
        request.m_prompt = &m_prompt;
        request.m_tried = &m_tried;
        request.m_engine_capacity = capacity;
        request.m_token_transfer_us = 2.8;
        request.m_target_weights = &m_target_weights;
        return request;
    }

    std::optional<selection> choose(core::time_point at = now)
    {
        return m_selector.choose(m_table, m_parts, make_selection_request(), at);
    }

    /// Selects an upstream and records the request as a session does.
    selection place()
    {
        selection chosen = *choose();
        chosen.m_upstream->m_load.on_sent(chosen.m_work);
        for (std::size_t i = 0; i < m_prompt.m_shared.size(); ++i)
        {
            m_parts.record_use(
                upstream_selector::versioned_part_key(m_prompt.m_shared[i], *chosen.m_version),
                chosen.m_upstream->m_record.m_id, m_prompt.m_shared_tokens[i], capacity);
        }
        return chosen;
    }

    void set_shared_part(std::uint64_t part) { m_prompt = {"m", {part}, {13'000}, 3'700, 100}; }

    upstream_table m_table;
    cached_part_index m_parts;
    prompt_profile m_prompt{"m", {}, {}, 400, 20};
    std::vector<core::upstream_id> m_tried;
    target_weights_history m_target_weights;
    upstream_selector m_selector{{}, {"near", "home"}, 1};
};

} // namespace

/// Upstream selection under the load patterns that upstream_selector covers.
class selection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(selection_test);
    CPPUNIT_TEST(request_goes_to_the_engine_with_its_part);
    CPPUNIT_TEST(part_of_a_busy_engine_is_fetched);
    CPPUNIT_TEST(instances_agree_on_the_owner_of_a_new_part);
    CPPUNIT_TEST(small_requests_spread_over_near_engines);
    CPPUNIT_TEST(unreachable_engine_gets_one_probe);
    CPPUNIT_TEST(failing_engine_is_avoided);
    CPPUNIT_TEST(slow_engine_is_avoided);
    CPPUNIT_TEST(engine_that_loads_weights_gets_no_requests);
    CPPUNIT_TEST(stale_weights_are_used_for_a_limited_time);
    CPPUNIT_TEST(leaving_engine_is_a_fallback_for_a_limited_time);
    CPPUNIT_TEST(engine_first_seen_leaving_gets_no_requests);
    CPPUNIT_TEST(request_for_a_version_goes_nowhere_else);
    CPPUNIT_TEST(deleted_record_may_return);
    CPPUNIT_TEST(least_recently_used_parts_are_evicted);
    CPPUNIT_TEST(peer_load_expires);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_goes_to_the_engine_with_its_part()
    {
        selection_simulation simulation(9);
        simulation.set_shared_part(77);
        const selection first = simulation.place();
        first.m_upstream->m_load.on_ended(first.m_work, false);
        for (int i = 0; i < 20; ++i)
        {
            const auto again = simulation.choose();
            CPPUNIT_ASSERT(again->m_upstream == first.m_upstream);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{13'000}, again->m_cached_tokens);
        }
    }

    void part_of_a_busy_engine_is_fetched()
    {
        selection_simulation simulation(9);
        simulation.set_shared_part(77);
        const selection first = simulation.place();
        first.m_upstream->m_load.on_sent({40'000, 2s});
        const auto other = simulation.choose();
        CPPUNIT_ASSERT(other->m_upstream != first.m_upstream);
        CPPUNIT_ASSERT(other->m_fetch_from == first.m_upstream);
    }

    void instances_agree_on_the_owner_of_a_new_part()
    {
        for (std::uint64_t part = 100; part < 140; ++part)
        {
            selection_simulation first(9);
            selection_simulation second(9);
            second.m_selector = upstream_selector({}, {"next", "home"}, 99);
            first.set_shared_part(part);
            second.set_shared_part(part);
            CPPUNIT_ASSERT_EQUAL(first.choose()->m_upstream->m_record.m_name,
                                 second.choose()->m_upstream->m_record.m_name);
        }
    }

    void small_requests_spread_over_near_engines()
    {
        selection_simulation simulation(9);
        std::map<std::string, int> counts;
        for (int i = 0; i < 60; ++i)
        {
            ++counts[simulation.place().m_upstream->m_record.m_name];
        }
        CPPUNIT_ASSERT(counts.size() >= 6);
        for (const auto& [name, count] : counts)
        {
            CPPUNIT_ASSERT(count <= 20);
        }
    }

    void unreachable_engine_gets_one_probe()
    {
        selection_simulation simulation(2);
        const auto unreachable = simulation.engine(1);
        unreachable->m_health.on_unreachable(now);
        CPPUNIT_ASSERT(simulation.choose()->m_upstream == simulation.engine(0));
        // After the ejection one probe request is sent, and no second one at the same time.
        const core::time_point later = now + 1s;
        simulation.engine(0)->m_load.on_sent({400, 500ms});
        CPPUNIT_ASSERT(simulation.choose(later)->m_upstream == unreachable);
        unreachable->m_load.on_sent({});
        CPPUNIT_ASSERT(simulation.choose(later)->m_upstream == simulation.engine(0));
    }

    void failing_engine_is_avoided()
    {
        selection_simulation simulation(6);
        const auto failing = simulation.engine(1);
        for (int i = 0; i < 12; ++i)
        {
            failing->m_health.on_success(1.0, now);
            failing->m_health.on_failure(now);
        }
        failing->m_health.on_success(1.0, now);
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(simulation.choose()->m_upstream != failing);
        }
    }

    void slow_engine_is_avoided()
    {
        selection_simulation simulation(6);
        const auto slow = simulation.engine(1);
        for (int i = 0; i < 30; ++i)
        {
            slow->m_health.on_success(8.0, now);
        }
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(simulation.choose()->m_upstream != slow);
        }
        CPPUNIT_ASSERT(slow->m_health.slowdown(now + 40s) < 1.1);
    }

    void engine_that_loads_weights_gets_no_requests()
    {
        selection_simulation simulation(1);
        simulation.engine(0)->m_loading_weights_until = now + 1s;
        CPPUNIT_ASSERT(!simulation.choose());
        CPPUNIT_ASSERT(simulation.choose(now + 1s));
    }

    void stale_weights_are_used_for_a_limited_time()
    {
        selection_simulation simulation(3);
        simulation.m_target_weights.add_version(placement::weights_version{2}, now);
        CPPUNIT_ASSERT(simulation.choose());
        CPPUNIT_ASSERT(!simulation.choose(now + 8s));
        // The time counts from the first version that the engine lacks.
        simulation.m_target_weights.add_version(placement::weights_version{3}, now + 6s);
        CPPUNIT_ASSERT(!simulation.choose(now + 8s));
        simulation.engine(1)->set_version("m", placement::weights_version{3});
        CPPUNIT_ASSERT(simulation.choose(now + 3s)->m_upstream == simulation.engine(1));
    }

    void leaving_engine_is_a_fallback_for_a_limited_time()
    {
        selection_simulation simulation(2);
        for (std::size_t i = 0; i < 2; ++i)
        {
            upstream_record record = simulation.engine(i)->m_record;
            record.m_leaving = true;
            simulation.m_table.apply(record, now);
        }
        CPPUNIT_ASSERT(simulation.choose(now + 1s));
        CPPUNIT_ASSERT(!simulation.choose(now + 2s));
    }

    /// An instance that starts while an engine leaves cannot know since when.
    void engine_first_seen_leaving_gets_no_requests()
    {
        selection_simulation fresh(0);
        upstream_record record = selection_simulation(1).engine(0)->m_record;
        record.m_leaving = true;
        fresh.m_table.apply(record, now);
        CPPUNIT_ASSERT(!fresh.choose().has_value());
    }

    /// Neither to another version nor to an engine whose process may have ended since its row.
    void request_for_a_version_goes_nowhere_else()
    {
        selection_simulation simulation(4);
        upstream_record record = simulation.engine(2)->m_record;
        record.m_software = {"v2"};
        simulation.m_table.apply(record, now);
        const software_version wanted{"v2"};
        selection_request request = simulation.make_selection_request();
        request.m_software = &wanted;
        const auto choose = [&] {
            return simulation.m_selector.choose(simulation.m_table, simulation.m_parts, request,
                                                now);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose()->m_upstream->m_record.m_name);
        simulation.engine(2)->doubt(now);
        CPPUNIT_ASSERT(!choose().has_value());
        record.m_started = core::incarnation{9};
        simulation.m_table.apply(record, now);
        CPPUNIT_ASSERT(choose().has_value());
    }

    void deleted_record_may_return()
    {
        selection_simulation simulation(1);
        const upstream_record record = simulation.engine(0)->m_record;
        simulation.m_table.remove(record.m_id, now);
        CPPUNIT_ASSERT(simulation.choose(now + 1s));
        CPPUNIT_ASSERT(!simulation.choose(now + 3s));
        simulation.m_table.apply(record, now + 4s);
        CPPUNIT_ASSERT(simulation.choose(now + 4s));
        simulation.m_table.remove(record.m_id, now + 5s);
        simulation.m_table.remove_departed(30s, now + 36s);
        CPPUNIT_ASSERT(simulation.m_table.all().empty());
    }

    void least_recently_used_parts_are_evicted()
    {
        cached_part_index parts;
        const core::upstream_id engine{1};
        parts.record_use(1, engine, 40, 100);
        parts.record_use(2, engine, 40, 100);
        parts.record_use(1, engine, 40, 100);
        parts.record_use(3, engine, 40, 100);
        CPPUNIT_ASSERT(parts.holds(1, engine) && parts.holds(3, engine));
        CPPUNIT_ASSERT(!parts.holds(2, engine));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, parts.cached_tokens(engine));
        parts.clear_holder(engine);
        CPPUNIT_ASSERT(parts.holders(1).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, parts.size());
    }

    void peer_load_expires()
    {
        upstream_load load;
        load.on_peer_report(core::instance_id{1}, {3, 900, 100ms}, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, load.total(now).m_in_flight);
        CPPUNIT_ASSERT(load.total(now + 60ms).m_backlog <= 40ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, load.total(now + 2s).m_in_flight);
        load.on_peer_request_sent(core::instance_id{1}, {500, 80ms}, now + 60ms);
        CPPUNIT_ASSERT(load.total(now + 60ms).m_backlog == 120ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, load.total(now + 60ms).m_in_flight);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(selection_test, "relay");
