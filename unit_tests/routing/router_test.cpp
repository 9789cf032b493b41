#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/routing/prefix_probe.hpp"
#include "tarragontrail/routing/transfer_choice.hpp"
#include "unit_tests/routing/small_fleet.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace router_fixture;
using namespace std::chrono_literals;

class router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(chain_of_another_identity_is_refused);
    CPPUNIT_TEST(sent_prefix_is_predicted_until_the_engine_restarts);
    CPPUNIT_TEST(second_lookup_narrows_the_cached_depth);
    CPPUNIT_TEST(reply_for_an_older_incarnation_gives_no_hit);
    CPPUNIT_TEST(change_of_hashing_depth_keeps_hits);
    CPPUNIT_TEST(hot_prefix_gets_more_engines);
    CPPUNIT_TEST(running_requests_spread_a_cached_prefix);
    CPPUNIT_TEST(stale_report_does_not_overload_one_idle_engine);
    CPPUNIT_TEST(other_region_only_under_overload_and_within_budget);
    CPPUNIT_TEST(transfer_is_chosen_by_time);
    CPPUNIT_TEST(bounded_rendezvous_leaves_a_loaded_engine);
    CPPUNIT_TEST_SUITE_END();

public:
    void chain_of_another_identity_is_refused()
    {
        small_fleet fleet(3);
        prompt text = make_prompt(1, 1, 4, 'a');
        text.m_identity.m_workspace_id = core::workspace_id{2};
        CPPUNIT_ASSERT_THROW(fleet.begin(text, core::request_id{1}), core::invariant_violation);
    }

    void sent_prefix_is_predicted_until_the_engine_restarts()
    {
        small_fleet fleet(8);
        const prompt text = make_prompt(1, 1, 20, 'a');
        const routed first = fleet.complete(text, core::request_id{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, first.m_expected_hit_pieces);
        const routed second = fleet.complete(text, core::request_id{2});
        CPPUNIT_ASSERT(second.m_engine == first.m_engine);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, second.m_expected_hit_pieces);
        CPPUNIT_ASSERT(second.m_reason == route_reason::predicted_prefix);
        CPPUNIT_ASSERT(second.m_runner_up != core::upstream_id{});
        CPPUNIT_ASSERT(second.m_runner_up_cost > second.m_cost);

        const core::incarnation next{2};
        fleet.m_router.on_engine_incarnation(first.m_engine, next, fleet.m_now);
        const routed third = fleet.complete(text, core::request_id{3});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, third.m_expected_hit_pieces);
    }

    void second_lookup_narrows_the_cached_depth()
    {
        small_fleet fleet(2);
        const prompt text = make_prompt(1, 1, 100, 'a');
        const cached_block_index index = make_index(text.m_chain.hashes().first(75));
        fleet.begin(text, core::request_id{1});
        std::uint64_t lookups = 0;
        std::optional<routed> decision;
        for (auto actions = fleet.m_router.take_actions(); !actions.empty();
             actions = fleet.m_router.take_actions())
        {
            for (const router_action& action : actions)
            {
                if (const auto* const lookup = std::get_if<send_lookup>(&action))
                {
                    // The index belongs to engine 1, so its replies for engine 2 are not usable.
                    fleet.m_router.on_lookup_reply(answer_lookup(lookup->m_request, index),
                                                   fleet.m_now);
                    ++lookups;
                    continue;
                }
                decision = std::get<routed>(action);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, lookups);
        CPPUNIT_ASSERT(decision->m_engine == core::upstream_id{1});
        CPPUNIT_ASSERT(decision->m_reason == route_reason::cached_prefix);
        CPPUNIT_ASSERT(decision->m_expected_hit_pieces <= 75);
        CPPUNIT_ASSERT(decision->m_expected_hit_pieces > 70);
    }

    void reply_for_an_older_incarnation_gives_no_hit()
    {
        small_fleet fleet(2);
        const prompt text = make_prompt(1, 1, 100, 'a');
        const cached_block_index index = make_index(text.m_chain.hashes().first(75));
        fleet.begin(text, core::request_id{1});
        fleet.m_router.on_engine_incarnation(core::upstream_id{1}, core::incarnation{2},
                                             fleet.m_now);
        for (const router_action& action : fleet.m_router.take_actions())
        {
            const lookup_request& lookup = std::get<send_lookup>(action).m_request;
            fleet.m_router.on_lookup_reply(answer_lookup(lookup, index), fleet.m_now);
        }
        const auto decision = std::get<routed>(fleet.m_router.take_actions().at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decision.m_expected_hit_pieces);
    }

    void change_of_hashing_depth_keeps_hits()
    {
        routing_settings settings;
        settings.m_anchor.m_window_chains = 1'000'000;
        small_fleet fleet(60, settings);
        std::vector<prompt> bundles;
        for (char text = 'a'; text <= 'j'; ++text)
        {
            bundles.push_back(make_prompt(1, 1, 12, text));
        }
        std::uint64_t id = 0;
        const auto hits = [&] {
            int count = 0;
            for (const prompt& bundle : bundles)
            {
                const bool hit =
                    fleet.complete(bundle, core::request_id{++id}).m_expected_hit_pieces == 12;
                count += hit ? 1 : 0;
            }
            return count;
        };
        hits();
        CPPUNIT_ASSERT_EQUAL(10, hits());
        const std::uint64_t group = anchor_group_of(bundles[0].m_identity);
        fleet.m_router.on_anchor_hint({group, 1, 1, 7, core::instance_id{2}}, fleet.m_now);

        // All prefixes still hit right after the change; each then misses at most once, when it
        // migrates.
        CPPUNIT_ASSERT_EQUAL(10, hits());
        int missed = 0;
        for (int round = 0; round < 70; ++round)
        {
            fleet.m_now += 1s;
            missed += 10 - hits();
        }
        CPPUNIT_ASSERT(missed > 0 && missed <= 10);
    }

    void hot_prefix_gets_more_engines()
    {
        small_fleet fleet(20);
        const prompt cold = make_prompt(1, 1, 4, 'c');
        const prompt hot = make_prompt(1, 1, 4, 'h');
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             fleet.complete(cold, core::request_id{1}).m_candidates);
        std::uint64_t candidates = 0;
        for (std::uint64_t id = 2; id < 400; ++id)
        {
            candidates = fleet.complete(hot, core::request_id{id}).m_candidates;
        }
        CPPUNIT_ASSERT(candidates > 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             fleet.complete(cold, core::request_id{400}).m_candidates);
    }

    void running_requests_spread_a_cached_prefix()
    {
        // The prefix is cached and decoding takes long, so load comes from running requests only.
        small_fleet fleet(20);
        const prompt hot = make_prompt(1, 1, 4, 'h');
        std::map<core::upstream_id, int> running;
        for (std::uint64_t id = 1; id <= 400; ++id)
        {
            const routed decision = fleet.route(hot, core::request_id{id});
            fleet.m_router.on_dispatched(core::request_id{id}, fleet.m_now);
            fleet.m_router.on_first_token(core::request_id{id}, fleet.m_now);
            ++running[decision.m_engine];
        }
        CPPUNIT_ASSERT(running.size() >= 3);
    }

    void stale_report_does_not_overload_one_idle_engine()
    {
        // Guards against a herd effect: 200 instances share a stale report that shows a single idle
        // engine.
        int to_idle = 0;
        for (std::uint64_t instance = 0; instance < 200; ++instance)
        {
            small_fleet fleet(20);
            for (std::uint64_t engine = 2; engine <= 20; ++engine)
            {
                fleet.report(engine, 12'000);
            }
            const prompt text = make_prompt(instance, 1, 4, 'a');
            const routed decision = fleet.route(text, core::request_id{1});
            to_idle += decision.m_engine == core::upstream_id{1} ? 1 : 0;
        }
        // With three candidates of twenty engines, about one request in seven finds the idle
        // engine.
        CPPUNIT_ASSERT(to_idle > 0 && to_idle < 60);
    }

    void other_region_only_under_overload_and_within_budget()
    {
        routing_settings settings;
        settings.m_region_link_bytes_per_second = 1;
        settings.m_region_link_burst_bytes = 200'000;
        small_fleet fleet(2, settings, 2);
        const prompt text = make_prompt(1, 1, 16, 'a');
        const auto is_far = [](const routed& decision) {
            return core::value_of(decision.m_engine) > 2;
        };
        CPPUNIT_ASSERT(!is_far(fleet.complete(text, core::request_id{1})));
        const auto overload = [&](std::uint64_t queued_tokens = 400'000) {
            fleet.report(1, queued_tokens);
            fleet.report(2, queued_tokens);
        };

        // A queue time of three seconds does not yet allow other regions.
        overload(24'000);
        CPPUNIT_ASSERT(!is_far(fleet.complete(text, core::request_id{9})));
        overload();
        const routed crossed = fleet.complete(text, core::request_id{2});
        CPPUNIT_ASSERT(is_far(crossed) && crossed.m_reason == route_reason::other_region);
        overload();
        CPPUNIT_ASSERT(is_far(fleet.complete(text, core::request_id{3})));
        overload();
        CPPUNIT_ASSERT(!is_far(fleet.complete(text, core::request_id{4})));

        // Without local engines, requests fail while the link budget is exhausted.
        fleet.m_router.set_engines({make_engine(3, remote_region)}, fleet.m_now);
        fleet.begin(text, core::request_id{5});
        const auto actions = fleet.m_router.take_actions();
        CPPUNIT_ASSERT(std::get<unroutable>(actions.at(0)).m_reason ==
                       unroutable_reason::region_budget_spent);
    }

    void transfer_is_chosen_by_time()
    {
        CPPUNIT_ASSERT(rc::check("transfer", [](std::uint16_t pieces, std::uint32_t link) {
            transfer_settings settings;
            settings.m_link_bytes_per_second = link;
            const transfer_choice choice = choose_transfer(pieces, 8000, settings);
            const double copy = link == 0 ? 0 : 0.02 + pieces * 134'217'728.0 / link;
            const double compute = pieces * 1024 / 8000.0;
            const bool copies = link > 0 && pieces > 0 && copy < compute;
            RC_ASSERT(copies == (choice.m_source == block_source::transfer));
        }));
    }

    void bounded_rendezvous_leaves_a_loaded_engine()
    {
        routing_settings settings;
        settings.m_policy = policy_kind::bounded_rendezvous;
        small_fleet fleet(10, settings);
        const prompt text = make_prompt(1, 1, 8, 'a');
        const routed first = fleet.complete(text, core::request_id{1});
        CPPUNIT_ASSERT(fleet.complete(text, core::request_id{2}).m_engine == first.m_engine);
        fleet.report(core::value_of(first.m_engine), 80'000);
        CPPUNIT_ASSERT(fleet.complete(text, core::request_id{3}).m_engine != first.m_engine);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(router_test, "routing");
