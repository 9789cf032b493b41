#include "stand_ins/engine_server.hpp"
#include "tarragontrail/load/answer_check.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace tarragontrail;
using nlohmann::json;
using verb = boost::beast::http::verb;

namespace {

using event_map = std::map<std::uint64_t, json>;

/// Events of a cache event stream by sequence number.
event_map parse_events(const std::string& bytes)
{
    event_map events;
    std::istringstream lines(bytes);
    for (std::string line; std::getline(lines, line);)
    {
        if (!line.starts_with("data: "))
        {
            continue;
        }
        const json event = json::parse(line.substr(6));
        events[event.at("sequence")] = event;
    }
    return events;
}

json chat_body(const std::string& prompt, bool stream, std::uint64_t resume_from = 0)
{
    return {{"model", "model-1"}, {"messages", {{{"role", "user"}, {"content", prompt}}}},
            {"max_tokens", 40},   {"stream", stream},
            {"cache_salt", "7"},  {"resume_from", resume_from}};
}

} // namespace

/// Engine stand-in over HTTP: events, resumed answers, crash, orders.
class engine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_test);
    CPPUNIT_TEST(events_add_up_to_the_snapshot);
    CPPUNIT_TEST(lost_events_leave_gaps_in_the_sequence);
    CPPUNIT_TEST(resumed_answer_continues_the_whole_one);
    CPPUNIT_TEST(crash_cuts_streams_and_empties_the_cache);
    CPPUNIT_TEST(old_fence_is_refused_only_where_checked);
    CPPUNIT_TEST(import_refuses_a_broken_chain);
    CPPUNIT_TEST(client_that_leaves_frees_the_engine);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;

    static config::engine_settings settings()
    {
        config::engine_settings settings;
        settings.m_port = 0;
        settings.m_prefill_tokens_per_s = 1e7;
        settings.m_decode_tokens_per_s = 1e5;
        settings.m_cache_blocks = 6;
        settings.m_event_delay = std::chrono::milliseconds(5);
        settings.m_load_lag = std::chrono::milliseconds(0);
        return settings;
    }

    json chat(std::uint16_t port, const std::string& prompt, std::uint64_t resume_from = 0)
    {
        const std::string body = chat_body(prompt, false, resume_from).dump();
        const auto result = m_loop.fetch(port, verb::post, "/v1/chat/completions", body);
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
        return json::parse(result.m_response.body());
    }

    std::shared_ptr<test::stream_recorder> stream(std::uint16_t port, net::http_request request)
    {
        auto recorder = std::make_shared<test::stream_recorder>();
        m_call = m_loop.m_client.start(net::make_endpoint("127.0.0.1", port), std::move(request),
                                       {}, recorder);
        return recorder;
    }

    /// Events that reach one subscriber while prompts of one to four blocks fill a small cache.
    std::pair<event_map, json> run_prompts(const config::engine_settings& chosen)
    {
        const stand_ins::engine_server engine(m_loop.m_context, chosen);
        const auto events = stream(engine.port(), net::make_request(verb::get, "/cache_events"));
        m_loop.run_until([&events] { return !events->m_bytes.empty(); });
        core::seeded_random random(5);
        for (int i = 0; i < prompt_count; ++i)
        {
            const char letter = static_cast<char>('a' + random.below(5));
            chat(engine.port(), std::string((1 + random.below(4)) * load::block_bytes, letter));
        }
        const json snapshot = m_loop.get(engine.port(), "/cache_blocks");
        const auto quiet = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
        m_loop.run_until([quiet] { return std::chrono::steady_clock::now() > quiet; });
        m_call->cancel();
        return {parse_events(events->m_bytes), snapshot};
    }

    static constexpr int prompt_count = 60;
    std::shared_ptr<net::http_call> m_call;

public:
    void events_add_up_to_the_snapshot()
    {
        const auto [events, snapshot] = run_prompts(settings());
        std::set<std::uint64_t> cached;
        std::size_t evicted_count = 0;
        for (const auto& [sequence, event] : events)
        {
            for (const std::uint64_t hash : event.at("stored"))
            {
                CPPUNIT_ASSERT(cached.insert(hash).second);
            }
            for (const std::uint64_t hash : event.at("evicted"))
            {
                CPPUNIT_ASSERT(cached.erase(hash) == 1);
                ++evicted_count;
            }
        }
        CPPUNIT_ASSERT(evicted_count > 0);
        CPPUNIT_ASSERT_EQUAL(snapshot.at("sequence").get<std::size_t>(), events.size());
        CPPUNIT_ASSERT(cached == snapshot.at("blocks").get<std::set<std::uint64_t>>());
        CPPUNIT_ASSERT(cached.size() <= settings().m_cache_blocks);
    }

    void lost_events_leave_gaps_in_the_sequence()
    {
        config::engine_settings lossy = settings();
        lossy.m_event_loss = 0.4;
        const event_map whole = run_prompts(settings()).first;
        const event_map received = run_prompts(lossy).first;
        CPPUNIT_ASSERT(!received.empty());
        CPPUNIT_ASSERT(received.size() < whole.size());
        for (const auto& [sequence, event] : received)
        {
            CPPUNIT_ASSERT(event.at("stored") == whole.at(sequence).at("stored"));
            CPPUNIT_ASSERT(event.at("evicted") == whole.at(sequence).at("evicted"));
        }
    }

    void resumed_answer_continues_the_whole_one()
    {
        const stand_ins::engine_server engine(m_loop.m_context, settings());
        const std::string prompt(9000, 'q');
        const std::string whole = chat(engine.port(), prompt)["choices"][0]["message"]["content"];
        const load::answer_text expected("user\n" + prompt + "\n", prompt, 40);
        CPPUNIT_ASSERT_EQUAL(expected.text_from(), whole);
        for (const std::uint64_t from : {1, 17, 39, 40})
        {
            const json answer = chat(engine.port(), prompt, from);
            const std::string rest = answer["choices"][0]["message"]["content"];
            CPPUNIT_ASSERT(whole.ends_with(rest));
            CPPUNIT_ASSERT_EQUAL(expected.text_from(from), rest);
            CPPUNIT_ASSERT_EQUAL(40 - from,
                                 answer["usage"]["completion_tokens"].get<std::uint64_t>());
            CPPUNIT_ASSERT_EQUAL(2 * load::block_tokens,
                                 answer["usage"]["cached_tokens"].get<std::uint64_t>());
        }
    }

    void crash_cuts_streams_and_empties_the_cache()
    {
        config::engine_settings slow = settings();
        slow.m_decode_tokens_per_s = 5;
        slow.m_crash_on = "poison";
        const stand_ins::engine_server engine(m_loop.m_context, slow);
        const auto before = m_loop.get(engine.port(), "/cache_blocks");
        const auto answer = stream(
            engine.port(), net::make_request(verb::post, "/v1/chat/completions",
                                             chat_body(std::string(9000, 'q'), true).dump()));
        m_loop.run_until([&answer] { return !answer->m_bytes.empty(); });
        const auto poison = m_loop.fetch(engine.port(), verb::post, "/v1/chat/completions",
                                         chat_body("poison", false).dump());
        CPPUNIT_ASSERT(!poison.m_ok);
        m_loop.run_until([&answer] { return answer->m_failed; });
        const auto after = m_loop.get(engine.port(), "/cache_blocks");
        CPPUNIT_ASSERT(after["blocks"].empty());
        CPPUNIT_ASSERT(after["incarnation"] > before["incarnation"]);
        CPPUNIT_ASSERT_EQUAL(0, m_loop.get(engine.port(), "/load")["running"].get<int>());
    }

    void old_fence_is_refused_only_where_checked()
    {
        for (const bool checks : {true, false})
        {
            config::engine_settings chosen = settings();
            chosen.m_checks_fence = checks;
            const stand_ins::engine_server engine(m_loop.m_context, chosen);
            chat(engine.port(), std::string(9000, 'q'));
            const auto order = [&](int fence, int version) {
                const json body{{"fence", fence},
                                {"kind", "load"},
                                {"model", "model-1"},
                                {"weights_version", version}};
                return m_loop.fetch(engine.port(), verb::post, "/orders", body.dump())
                    .m_response.result_int();
            };
            CPPUNIT_ASSERT_EQUAL(200U, order(8, 2));
            CPPUNIT_ASSERT(m_loop.get(engine.port(), "/cache_blocks")["blocks"].empty());
            CPPUNIT_ASSERT_EQUAL(checks ? 409U : 200U, order(7, 3));
            const auto load = m_loop.get(engine.port(), "/load");
            CPPUNIT_ASSERT_EQUAL(checks ? 2 : 3, load["weights_version"].get<int>());
            const auto log = m_loop.get(engine.port(), "/orders/log");
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log["orders"].size());
        }
    }

    void import_refuses_a_broken_chain()
    {
        const stand_ins::engine_server from(m_loop.m_context, settings());
        const stand_ins::engine_server to(m_loop.m_context, settings());
        chat(from.port(), std::string(4 * load::block_bytes, 'q'));
        const json blocks = m_loop.get(from.port(), "/cache_blocks")["blocks"];
        const json wanted{{"cache_salt", "7"}, {"blocks", blocks}};
        const auto exported =
            m_loop.fetch(from.port(), verb::post, "/kv/export", wanted.dump()).m_response;
        json body = json::parse(exported.body());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, body["blocks"].size());

        // Another salt, and a chain without its first block.
        json other = body;
        other["cache_salt"] = "8";
        json headless = body;
        headless["blocks"].erase(0);
        for (const json& broken : {other, headless})
        {
            const auto refused = m_loop.fetch(to.port(), verb::post, "/kv/import", broken.dump());
            CPPUNIT_ASSERT_EQUAL(409U, refused.m_response.result_int());
            CPPUNIT_ASSERT(m_loop.get(to.port(), "/cache_blocks")["blocks"].empty());
        }
        m_loop.post(to.port(), "/kv/import", body);
        const json answer = chat(to.port(), std::string(4 * load::block_bytes, 'q'));
        CPPUNIT_ASSERT_EQUAL(4 * load::block_tokens,
                             answer["usage"]["cached_tokens"].get<std::uint64_t>());
    }

    void client_that_leaves_frees_the_engine()
    {
        config::engine_settings slow = settings();
        slow.m_decode_tokens_per_s = 1;
        slow.m_batch = 1;
        const stand_ins::engine_server engine(m_loop.m_context, slow);
        const auto answer =
            stream(engine.port(), net::make_request(verb::post, "/v1/chat/completions",
                                                    chat_body("first", true).dump()));
        m_loop.run_until([&answer] { return !answer->m_bytes.empty(); });
        m_call->cancel();
        m_loop.run_until(
            [&] { return m_loop.get(engine.port(), "/stats")["cancelled"].get<int>() == 1; });
        CPPUNIT_ASSERT_EQUAL(0, m_loop.get(engine.port(), "/load")["running"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(engine_test, "stand_ins");
