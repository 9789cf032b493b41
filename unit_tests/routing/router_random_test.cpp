#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/prefix_probe.hpp"
#include "unit_tests/routing/fake_fleet.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace router_fixture;
using namespace std::chrono_literals;

namespace {

/// Simulates a router with engines and watchers whose lookup replies are lost, delayed, duplicated
/// and reordered.
class router_simulation
{
public:
    explicit router_simulation(std::uint64_t seed)
        : m_random(seed), m_settings(random_settings(seed)), m_router(router_self, m_settings),
          m_fleet(m_random, m_router)
    {
        for (std::uint64_t kind = 0; kind < 16; ++kind)
        {
            const std::size_t pieces = kind % 4 * (kind % 4) * 6;
            m_prompts.push_back(
                make_prompt(kind % 2, 1 + kind / 8, pieces, static_cast<char>('a' + kind / 4 % 2)));
        }
        m_router.set_local_index(core::upstream_id{1}, &m_fleet.engines()[0].m_index);
        m_fleet.publish_engines(m_now);
    }

    void run()
    {
        for (int step = 0; step < 600; ++step)
        {
            take_step();
            execute_actions();
        }
        finish_and_check();
    }

private:
    void take_step()
    {
        switch (m_random.below(12))
        {
        case 0:
            m_fleet.change(m_fleet.random_engine(), m_now);
            break;
        case 1:
            m_random.below(3) == 0 ? m_fleet.crash(m_fleet.random_engine(), m_now)
                                   : m_fleet.report_load(m_fleet.random_engine(), m_now);
            break;
        case 2:
            m_fleet.report_load(m_fleet.random_engine(), m_now);
            break;
        case 3:
        case 4:
        case 5:
            begin();
            break;
        case 6:
        case 7:
        case 8:
            advance_request();
            break;
        default:
            pass_time(std::chrono::microseconds(
                m_random.below(m_random.below(20) == 0 ? 3'000'000 : 4000)));
        }
    }

    void begin()
    {
        const core::request_id id{++m_last_id};
        fake_request& request = m_requests[id];
        request.m_prompt = &m_prompts[m_random.below(m_prompts.size())];
        request.m_begun = m_now;
        request.m_deadline =
            m_now + std::chrono::milliseconds(m_random.below(30) == 0 ? m_random.below(8) : 5000);
        while (m_random.below(4) == 0)
        {
            request.m_excluded.push_back(m_fleet.random_engine().m_entry.m_upstream_id);
        }
        m_router.begin({id, request.m_prompt->m_identity, request.m_prompt->m_chain,
                        request.m_prompt->m_chain.size() * tokens_per_piece + 100, 50,
                        request.m_deadline, request.m_excluded},
                       m_now);
    }

    void advance_request()
    {
        if (m_running.empty())
        {
            return;
        }
        const core::request_id id = m_running[m_random.below(m_running.size())];
        fake_request& request = m_requests[id];
        switch (m_random.below(3))
        {
        case 0:
            dispatch(id, request);
            break;
        case 1:
            m_router.on_first_token(id, m_now);
            break;
        default:
            m_router.on_finished(id, 10, m_now);
            std::erase(m_running, id);
        }
    }

    void dispatch(core::request_id id, const fake_request& request)
    {
        m_router.on_dispatched(id, m_now);
        const auto hashes = request.m_prompt->m_chain.hashes();
        for (const std::uint64_t hash : hashes)
        {
            m_cached_blocks.insert(
                {request.m_routed.m_engine, request.m_routed.m_incarnation, hash});
        }
        fake_engine& engine = m_fleet.engine_of(request.m_routed.m_engine);
        if (engine.m_entry.m_incarnation == request.m_routed.m_incarnation)
        {
            m_fleet.store(engine, hashes, m_now);
        }
    }

    void pass_time(core::duration step)
    {
        const core::time_point end = m_now + step;
        for (auto next = next_event(); next <= end; next = next_event())
        {
            m_now = std::max(m_now, next);
            deliver_replies();
            m_router.on_timer(m_now);
            execute_actions();
        }
        m_now = end;
    }

    core::time_point next_event() const
    {
        const core::time_point reply =
            m_replies.empty() ? core::time_point::max() : m_replies.begin()->first;
        return std::min(reply, m_router.next_deadline().value_or(core::time_point::max()));
    }

    void deliver_replies()
    {
        while (!m_replies.empty() && m_replies.begin()->first <= m_now)
        {
            const lookup_reply reply = m_replies.begin()->second;
            m_replies.erase(m_replies.begin());
            m_router.on_lookup_reply(reply, m_now);
        }
    }

    void execute_actions()
    {
        for (const router_action& action : m_router.take_actions())
        {
            std::visit([&](const auto& item) { on_action(item); }, action);
        }
    }

    void on_action(const send_lookup& action)
    {
        RC_ASSERT(action.m_request.m_hashes.size() <= max_initial_hashes);
        RC_ASSERT(action.m_engine != core::upstream_id{1});
        const fake_engine& engine = m_fleet.engine_of(action.m_engine);
        lookup_reply reply = answer_lookup(action.m_request, engine.m_index);
        const std::uint64_t beyond_chain = m_random.below(50) == 0 ? 1000 : 0;
        reply.m_depth_lower += beyond_chain;
        reply.m_depth_upper += beyond_chain;
        for (std::uint64_t copies = m_random.below(5); copies > 1; --copies)
        {
            m_replies.emplace(m_now + std::chrono::microseconds(m_random.below(14'000)), reply);
        }
    }

    void on_action(const routed& decision)
    {
        fake_request& request = m_requests.at(decision.m_request_id);
        ++request.m_decisions;
        request.m_routed = decision;
        m_running.push_back(decision.m_request_id);
        const fake_engine& engine = m_fleet.engine_of(decision.m_engine);
        RC_ASSERT(fake_fleet::is_usable(engine, request));
        RC_ASSERT(decision.m_incarnation >= engine.m_newest_reported);
        RC_ASSERT(decision.m_incarnation <= engine.m_entry.m_incarnation);
        RC_ASSERT(m_now - request.m_begun <= m_settings.m_lookup_timeout);

        // A hit may only consist of blocks that this incarnation was sent under this identity.
        const auto hashes = request.m_prompt->m_chain.hashes();
        RC_ASSERT(decision.m_expected_hit_pieces <= hashes.size());
        for (const std::uint64_t hash : hashes.first(decision.m_expected_hit_pieces))
        {
            RC_ASSERT(m_cached_blocks.contains({decision.m_engine, decision.m_incarnation, hash}));
        }

        const bool crosses = engine.m_entry.m_region_id != local_region;
        RC_ASSERT(crosses == (decision.m_link_bytes > 0));
        m_link_bytes += static_cast<double>(decision.m_link_bytes);
        const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        const auto rate = static_cast<double>(m_settings.m_region_link_bytes_per_second);
        const auto burst = static_cast<double>(m_settings.m_region_link_burst_bytes);
        RC_ASSERT(m_link_bytes <= burst + rate * seconds + 1);
    }

    void on_action(const unroutable& decision)
    {
        fake_request& request = m_requests.at(decision.m_request_id);
        ++request.m_decisions;
        RC_ASSERT(m_now - request.m_begun <= m_settings.m_lookup_timeout);
        if (decision.m_reason == unroutable_reason::deadline_passed)
        {
            RC_ASSERT(request.m_deadline <= m_now);
            return;
        }
        // Rejected only if no engine of the local region is usable.
        for (const fake_engine& engine : m_fleet.engines())
        {
            const bool local = engine.m_entry.m_region_id == local_region;
            RC_ASSERT_FALSE((local && fake_fleet::is_usable(engine, request)));
        }
    }

    /// Finishes all requests, then checks that each was decided once and no engine has tokens or
    /// requests in flight.
    void finish_and_check()
    {
        pass_time(1s);
        for (const auto& [id, request] : m_requests)
        {
            RC_ASSERT(request.m_decisions == 1);
            m_router.on_finished(id, 0, m_now);
            m_router.on_finished(id, 0, m_now);
        }
        RC_ASSERT(m_router.active_requests() == 0U);
        RC_ASSERT(m_router.take_actions().empty());
        for (const fake_engine& engine : m_fleet.engines())
        {
            RC_ASSERT(m_router.in_flight_tokens(engine.m_entry.m_upstream_id) == 0);
            RC_ASSERT(m_router.in_flight_requests(engine.m_entry.m_upstream_id) == 0U);
        }
    }

    core::seeded_random m_random; ///< Source of all random choices.
    routing_settings m_settings;
    router m_router;          ///< Router under test.
    core::time_point m_now{}; ///< Simulated time.
    fake_fleet m_fleet;
    std::vector<prompt> m_prompts;                       ///< Prompts to choose from.
    std::map<core::request_id, fake_request> m_requests; ///< All requests by id.
    std::vector<core::request_id> m_running;             ///< Routed and unfinished requests.
    /// Replies in transit, by time of delivery.
    std::multimap<core::time_point, lookup_reply> m_replies;
    /// Blocks sent to each incarnation.
    std::set<std::tuple<core::upstream_id, core::incarnation, std::uint64_t>> m_cached_blocks;
    std::uint64_t m_last_id = 0;
    double m_link_bytes = 0; ///< Total bytes sent between regions.
};

} // namespace

/// Router under random losses, delays and crashes.
class router_random_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(router_random_test);
    CPPUNIT_TEST(every_request_is_decided_once_under_loss_and_crashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_request_is_decided_once_under_loss_and_crashes()
    {
        CPPUNIT_ASSERT(rc::check("router under loss and crashes", [](std::uint64_t seed) {
            for (std::uint64_t run = 0; run < 5; ++run)
            {
                router_simulation(seed + run).run();
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(router_random_test, "routing");
