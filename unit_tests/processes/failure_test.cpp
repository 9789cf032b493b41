#include "tarragontrail/config/key_digest.hpp"
#include "unit_tests/processes/fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <nlohmann/json.hpp>

using namespace tarragontrail;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::map<std::string, std::string> court{{"Authorization", "Bearer tt-court-1"}};
constexpr const char* completions = "/v1/chat/completions";
constexpr std::size_t long_answer = 150; // tokens, about 1.5 s at the sample's decode rate

std::map<std::string, std::string> with(const std::map<std::string, std::string>& headers,
                                        const std::string& name, const std::string& value)
{
    std::map<std::string, std::string> more = headers;
    more[name] = value;
    return more;
}

} // namespace

/// The brief's failures brought about on real processes over loopback.
class failure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_test);
    CPPUNIT_TEST(stream_survives_engine_crash_and_entry_kill);
    CPPUNIT_TEST(withdrawn_key_stops_everywhere_with_store_down);
    CPPUNIT_TEST(calls_run_once_over_outage_repeats_and_lost_replies);
    CPPUNIT_TEST(unframed_service_answer_gets_no_length);
    CPPUNIT_TEST(graceful_shutdown_cuts_no_request);
    CPPUNIT_TEST(poison_request_is_quarantined_and_others_finish);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<test::process_fleet> m_fleet;

    /// Retries until the shares of a young fleet have filled.
    test::process_answer ask(std::size_t entry, const std::string& body,
                             const std::map<std::string, std::string>& headers = court)
    {
        test::process_answer answer;
        for (int i = 0; i < 40; ++i)
        {
            answer = m_fleet->call("POST", m_fleet->entry(entry), completions, body, headers);
            if (answer.m_status != 429 && answer.m_status != 503)
            {
                break;
            }
            m_fleet->run_for(250ms);
        }
        return answer;
    }

    /// Starts a stream, again while it is refused for the moment, until its first piece came.
    std::shared_ptr<test::process_answer> start_running(std::size_t entry, const std::string& body)
    {
        for (int i = 0; i < 40; ++i)
        {
            auto stream = m_fleet->start("POST", m_fleet->entry(entry), completions, body, court);
            m_fleet->run_until([&] { return stream->m_ended || !stream->m_body.empty(); });
            if (stream->m_status != 429 && stream->m_status != 503)
            {
                return stream;
            }
            m_fleet->run_for(250ms);
        }
        CPPUNIT_FAIL("the stream was refused 40 times");
        return nullptr;
    }

    std::string reference(const std::string& body)
    {
        const test::process_answer answer = ask(0, body);
        CPPUNIT_ASSERT_EQUAL(200U, answer.m_status);
        const test::streamed_text text = test::read_stream(answer.m_body);
        CPPUNIT_ASSERT(text.m_has_end && text.m_in_order);
        return text.m_text;
    }

    std::uint64_t stat(const std::string& address, const char* name)
    {
        const test::process_answer answer = m_fleet->call("GET", address, "/stats");
        return json::parse(answer.m_body).value(name, std::uint64_t{0});
    }

    void faults(const std::string& address, const std::string& body)
    {
        CPPUNIT_ASSERT_EQUAL(200U, m_fleet->call("POST", address, "/faults", body).m_status);
    }

    void expect_no_key_seen()
    {
        for (std::size_t i = 0; i < m_fleet->engines(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, stat(m_fleet->engine(i), "keys_seen"));
        }
        for (std::size_t i = 0; i < m_fleet->services(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, stat(m_fleet->service(i), "keys_seen"));
        }
    }

public:
    void tearDown() override { m_fleet.reset(); }

    void stream_survives_engine_crash_and_entry_kill()
    {
        m_fleet = std::make_unique<test::process_fleet>("small");
        const std::string body = test::completion_body("chair history", 3, long_answer);
        const std::string whole = reference(body);

        // Every engine that runs it crashes once mid-stream; the caller sees one unbroken answer.
        bool crashed = false;
        const auto answer = m_fleet->start(
            "POST", m_fleet->entry(0), completions, body, court, [&](const std::string& so_far) {
                crashed = crashed || test::read_stream(so_far).m_next_offset > 20;
            });
        m_fleet->run_until([&] { return crashed; });
        for (std::size_t i = 0; i < m_fleet->engines(); ++i)
        {
            faults(m_fleet->engine(i), R"({"crash":true})");
        }
        m_fleet->run_until([&] { return answer->m_whole; });
        const test::streamed_text resumed = test::read_stream(answer->m_body);
        CPPUNIT_ASSERT(resumed.m_has_end && resumed.m_in_order);
        CPPUNIT_ASSERT_EQUAL(whole, resumed.m_text);

        // The entry is killed mid-stream; the caller resumes at another one from its last event.
        bool far_enough = false;
        const auto cut = m_fleet->start(
            "POST", m_fleet->entry(0), completions, body, court, [&](const std::string& so_far) {
                far_enough = test::read_stream(so_far).m_next_offset > 20;
            });
        m_fleet->run_until([&] { return far_enough; });
        m_fleet->signal("entry-1", SIGKILL);
        m_fleet->run_for(300ms);
        const test::streamed_text first = test::read_stream(cut->m_body);
        CPPUNIT_ASSERT(!first.m_has_end);
        const test::process_answer rest =
            ask(1, body, with(court, "Last-Event-ID", std::to_string(first.m_next_offset)));
        const test::streamed_text second = test::read_stream(rest.m_body);
        CPPUNIT_ASSERT(second.m_has_end && second.m_in_order);
        CPPUNIT_ASSERT_EQUAL(whole, first.m_text + second.m_text);
        expect_no_key_seen();
    }

    void withdrawn_key_stops_everywhere_with_store_down()
    {
        m_fleet = std::make_unique<test::process_fleet>("small");
        const std::string body = test::completion_body("bundle of the court", 2, 600);
        const std::string brief = test::completion_body("bundle of the court", 2, 2);
        CPPUNIT_ASSERT_EQUAL(200U, ask(0, brief).m_status);
        const auto second_key = with({}, "Authorization", "Bearer tt-court-2");

        // A stream of the key runs at another instance while the table is down.
        const auto stream = start_running(2, body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test::seen(*stream), 200U, stream->m_status);
        faults(m_fleet->platform(), R"({"table_down":true})");
        const std::string digest =
            "{\"digest\":\"" + config::to_hex(config::sha256("tt-court-1")) + "\"}";
        const auto token = with({}, "Authorization", "Bearer op-alice");
        CPPUNIT_ASSERT_EQUAL(
            200U, m_fleet->call("POST", m_fleet->admin(0), "/admin/v1/keys/withdraw", digest, token)
                      .m_status);

        // The running stream ends with an error, and no instance takes the key any more.
        m_fleet->run_until([&] { return stream->m_whole; }, 15s);
        const test::streamed_text ended = test::read_stream(stream->m_body);
        CPPUNIT_ASSERT_MESSAGE(test::seen(*stream), !ended.m_has_end);
        CPPUNIT_ASSERT_MESSAGE(test::seen(*stream),
                               ended.m_error.find("key_withdrawn") != std::string::npos);
        for (std::size_t i = 0; i < 3; ++i)
        {
            m_fleet->run_until([&, i] {
                return m_fleet->call("POST", m_fleet->entry(i), completions, brief, court)
                           .m_status == 401;
            });
            CPPUNIT_ASSERT_EQUAL(200U, ask(i, brief, second_key).m_status);
        }
    }

    /// The stored answer claims no more either.
    void unframed_service_answer_gets_no_length()
    {
        m_fleet = std::make_unique<test::process_fleet>(
            "small", std::vector<std::string>{"--service-flag=--unframed=1"});
        CPPUNIT_ASSERT_EQUAL(200U, ask(0, test::completion_body("warm", 1, 2)).m_status);
        for (const std::string replayed : {"", "true"})
        {
            const test::process_answer answer =
                m_fleet->call("POST", m_fleet->entry(0), "/orders", R"({"tyre":1})",
                              with(court, "Idempotency-Key", "unframed"));
            CPPUNIT_ASSERT_EQUAL(200U, answer.m_status);
            CPPUNIT_ASSERT_EQUAL(replayed, answer.m_replayed);
            CPPUNIT_ASSERT_EQUAL(std::string("until_close"),
                                 std::string(net::to_string(answer.m_framing)));
        }
    }

    void calls_run_once_over_outage_repeats_and_lost_replies()
    {
        m_fleet = std::make_unique<test::process_fleet>("small");
        CPPUNIT_ASSERT_EQUAL(200U, ask(0, test::completion_body("warm", 1, 2)).m_status);
        const auto order = [&](std::size_t entry, const std::string& key) {
            return m_fleet->call("POST", m_fleet->entry(entry), "/orders", R"({"tyre":1})",
                                 with(court, "Idempotency-Key", key));
        };

        // Half of the table's replies are lost after the write took effect.
        faults(m_fleet->platform(), R"({"lose_reply_fraction":0.5,"seed":7})");
        for (int i = 0; i < 12; ++i)
        {
            const std::string key = "lossy-" + std::to_string(i);
            for (std::size_t turn = 0; turn < 3; ++turn)
            {
                order(turn, key);
            }
        }
        // With the table down a call is refused before it is dispatched, and says so.
        faults(m_fleet->platform(), R"({"lose_reply_fraction":0.0,"table_down":true})");
        const test::process_answer refused = order(0, "outage");
        CPPUNIT_ASSERT_EQUAL(503U, refused.m_status);
        CPPUNIT_ASSERT(refused.m_body.find("\"execution\":\"not run\"") != std::string::npos);
        faults(m_fleet->platform(), R"({"table_down":false})");

        std::uint64_t total = 0;
        for (std::size_t i = 0; i < m_fleet->services(); ++i)
        {
            CPPUNIT_ASSERT(stat(m_fleet->service(i), "max_per_key") <= 1);
            total += stat(m_fleet->service(i), "executions");
        }
        CPPUNIT_ASSERT(total <= 12);

        // After the faults every key answers at every entry with its one execution.
        for (int i = 0; i < 12; ++i)
        {
            const std::string key = "lossy-" + std::to_string(i);
            const test::process_answer one = order(0, key);
            const test::process_answer other = order(1, key);
            CPPUNIT_ASSERT_EQUAL(200U, one.m_status);
            CPPUNIT_ASSERT_EQUAL(one.m_body, other.m_body);
        }
        expect_no_key_seen();
    }

    void graceful_shutdown_cuts_no_request()
    {
        m_fleet = std::make_unique<test::process_fleet>("small");
        const std::string body = test::completion_body("drain", 2, long_answer);
        const std::string whole = reference(body);
        std::vector<std::shared_ptr<test::process_answer>> answers;
        answers.reserve(4);
        bool running = false;
        for (int i = 0; i < 4; ++i)
        {
            answers.push_back(m_fleet->start("POST", m_fleet->entry(1), completions, body, court,
                                             [&](const std::string&) { running = true; }));
        }
        m_fleet->run_until([&] { return running; });
        m_fleet->signal("entry-2", SIGTERM);
        m_fleet->run_until([&] {
            return std::all_of(answers.begin(), answers.end(),
                               [](const auto& each) { return each->m_whole; });
        });
        for (const auto& each : answers)
        {
            if (each->m_status != 200)
            {
                CPPUNIT_ASSERT(each->m_body.find("\"execution\":\"not run\"") != std::string::npos);
                continue;
            }
            CPPUNIT_ASSERT_EQUAL(whole, test::read_stream(each->m_body).m_text);
        }
        m_fleet->run_until(
            [&] { return m_fleet->log("entry-2").find("event=stopped") != std::string::npos; });
        CPPUNIT_ASSERT(m_fleet->log("entry-2").find("cut_nothing=true") != std::string::npos);

        // The instance is no longer located, and the others serve on.
        m_fleet->run_until([&] {
            const auto located = m_fleet->call("GET", m_fleet->entry(0), "/v1/locate");
            const std::string port = m_fleet->entry(1).substr(m_fleet->entry(1).rfind(':') + 1);
            return located.m_body.find(port) == std::string::npos;
        });
        CPPUNIT_ASSERT_EQUAL(whole, test::read_stream(ask(2, body).m_body).m_text);
    }

    void poison_request_is_quarantined_and_others_finish()
    {
        m_fleet = std::make_unique<test::process_fleet>(
            "small", std::vector<std::string>{"--engine-flag=--crash_on=poison",
                                              "--engine-flag=--crash_mode=reset"});
        const std::string innocent = test::completion_body("innocent", 2, long_answer);
        const std::string whole = reference(innocent);
        const std::string poison = test::completion_body("poison", 1, 5);

        std::vector<std::shared_ptr<test::process_answer>> answers;
        answers.reserve(3);
        for (std::size_t i = 0; i < 3; ++i)
        {
            answers.push_back(
                m_fleet->start("POST", m_fleet->entry(i), completions, innocent, court));
        }
        m_fleet->run_for(200ms);
        const test::process_answer first = ask(0, poison);
        CPPUNIT_ASSERT(first.m_status != 200);

        // Its caller sends it again elsewhere, until every instance refuses it.
        for (std::size_t i = 0; i < 3; ++i)
        {
            m_fleet->run_until([&, i] {
                return m_fleet->call("POST", m_fleet->entry(i), completions, poison, court)
                           .m_status == 422;
            });
        }
        m_fleet->run_until([&] {
            return std::all_of(answers.begin(), answers.end(),
                               [](const auto& each) { return each->m_whole; });
        });
        for (const auto& each : answers)
        {
            CPPUNIT_ASSERT_EQUAL(whole, test::read_stream(each->m_body).m_text);
        }
        CPPUNIT_ASSERT_EQUAL(200U, ask(1, innocent).m_status);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failure_test, "processes");
