#include "tarragontrail/config/key_digest.hpp"
#include "unit_tests/processes/fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

using namespace tarragontrail;
using namespace std::chrono_literals;
using nlohmann::json;

/// Pauses, silence and outages on real processes over loopback.
class partition_test : public test::fleet_fixture
{
    CPPUNIT_TEST_SUITE(partition_test);
    CPPUNIT_TEST(paused_instance_returns_without_stale_keys_or_repeats);
    CPPUNIT_TEST(silent_engine_is_left_and_used_again);
    CPPUNIT_TEST(fleet_serves_while_the_platform_is_down);
    CPPUNIT_TEST_SUITE_END();

    const test::call_headers m_second_court = test::bearer("tt-court-2"); ///< Another key of it.

    test::call_headers keyed(const std::string& key) const
    {
        test::call_headers more = m_court;
        more["Idempotency-Key"] = key;
        return more;
    }

    test::process_answer order(std::size_t entry, const std::string& key)
    {
        return m_fleet->call("POST", m_fleet->entry(entry), "/orders", R"({"tyre":1})", keyed(key));
    }

    bool is_located(std::size_t at, std::size_t entry)
    {
        const auto located = m_fleet->call("GET", m_fleet->entry(at), "/v1/locate");
        const std::string address = m_fleet->entry(entry);
        return located.m_body.find(address.substr(address.rfind(':') + 1)) != std::string::npos;
    }

    void expect_single_executions(std::uint64_t keys)
    {
        std::map<std::string, std::uint64_t> executions;
        for (std::size_t i = 0; i < m_fleet->services(); ++i)
        {
            const json counted = stats(m_fleet->service(i)).at("per_key");
            for (const auto& [key, count] : counted.items())
            {
                executions[key] += count.get<std::uint64_t>();
            }
        }
        for (const auto& [key, count] : executions)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(key, std::uint64_t{1}, count);
        }
        CPPUNIT_ASSERT_EQUAL(keys, std::uint64_t{executions.size()});
    }

    void withdraw(std::size_t entry, const std::string& key)
    {
        const json body{{"digest", config::to_hex(config::sha256(key))}};
        administer("POST", entry, "/admin/v1/keys/withdraw", "alice", body.dump());
    }

    /// Sends orders and completions at the two other instances until a time; gives their number.
    int serve_without(std::size_t paused, clock_type::time_point end, const std::string& brief)
    {
        int sent = 0;
        for (; clock_type::now() < end; ++sent)
        {
            const std::size_t entry = (paused + 1 + static_cast<std::size_t>(sent) % 2) % instances;
            const auto ordered = retried_order(entry, "pause-" + std::to_string(sent));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(ordered.m_body, 200U, ordered.m_status);
            const auto completed = ask(entry, brief, m_court);
            CPPUNIT_ASSERT_MESSAGE(test::seen(completed), test::is_complete(completed));
        }
        return sent;
    }

    test::process_answer retried_order(std::size_t entry, const std::string& key)
    {
        test::process_answer answer;
        m_fleet->run_until(
            [&] {
                answer = order(entry, key);
                return answer.m_status != 409 && answer.m_status != 429 && answer.m_status != 503;
            },
            10s, [&] { return "order " + key + " done, last " + test::seen(answer); });
        return answer;
    }

public:
    void paused_instance_returns_without_stale_keys_or_repeats()
    {
        constexpr std::size_t paused = 1;
        begin();
        const std::string brief = test::completion_body("pause", 1, 2);
        CPPUNIT_ASSERT(test::is_complete(ask(paused, brief, m_second_court)));

        // Calls wait at the paused instance whose keys run elsewhere meanwhile.
        const auto end = clock_type::now() + 8s;
        m_fleet->pause("entry-2");
        answers waiting;
        for (int i = 0; i < 4; ++i)
        {
            waiting.push_back(m_fleet->start("POST", m_fleet->entry(paused), "/orders",
                                             R"({"tyre":1})", keyed("pause-" + std::to_string(i))));
        }
        withdraw(0, "tt-court-2");
        const int sent = serve_without(paused, end, brief);
        CPPUNIT_ASSERT(sent >= 4);
        CPPUNIT_ASSERT_EQUAL(401U, complete(0, brief, m_second_court).m_status);
        CPPUNIT_ASSERT_EQUAL(401U, complete(2, brief, m_second_court).m_status);
        CPPUNIT_ASSERT(!is_located(0, paused));

        // After it wakes it takes the withdrawn key no more, and runs nothing again.
        m_fleet->resume("entry-2");
        const auto woken = clock_type::now();
        bool refused = false;
        std::string last;
        m_fleet->run_until(
            [&] {
                const auto begun = clock_type::now();
                const auto answer = complete(paused, brief, m_second_court);
                CPPUNIT_ASSERT_MESSAGE(test::seen(answer),
                                       answer.m_status != 200 || begun < woken + 3s);
                last = test::seen(answer);
                refused = refused || answer.m_status == 401;
                return refused && clock_type::now() > woken + 4s;
            },
            15s,
            [&] {
                return "the withdrawn key refused at the woken instance, " +
                       m_fleet->state("entry-2") + ", last " + last;
            });
        finish(waiting);
        for (int i = 0; i < 4; ++i)
        {
            const std::string key = "pause-" + std::to_string(i);
            const auto there = retried_order(paused, key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(there.m_body, 200U, there.m_status);
            CPPUNIT_ASSERT_EQUAL(retried_order(0, key).m_body, there.m_body);
        }
        expect_single_executions(static_cast<std::uint64_t>(sent));
        m_fleet->run_until([&] { return is_located(0, paused) && is_located(2, paused); }, 15s,
                           [] { return "the woken instance among those of the others"; });
        CPPUNIT_ASSERT(test::is_complete(ask(paused, brief, m_court)));
    }

    void silent_engine_is_left_and_used_again()
    {
        constexpr std::size_t prompts = 6;
        begin({"--entry-flag=--upstream_silence=1500"});
        std::vector<std::string> bodies;
        std::vector<std::string> wholes;
        for (std::size_t i = 0; i < prompts; ++i)
        {
            bodies.push_back(test::completion_body("silent " + std::to_string(i), 2, 100));
            const auto answer = ask(i % instances, bodies.back(), m_court);
            CPPUNIT_ASSERT_MESSAGE(test::seen(answer), test::is_complete(answer));
            wholes.push_back(test::read_stream(answer.m_body).m_text);
        }
        const auto send_all = [&] {
            answers started;
            for (std::size_t i = 0; i < prompts; ++i)
            {
                started.push_back(start(i % instances, bodies[i], m_court));
            }
            return started;
        };
        const auto expect_whole = [&](const answers& started) {
            finish(started);
            for (std::size_t i = 0; i < prompts; ++i)
            {
                CPPUNIT_ASSERT_MESSAGE(test::seen(*started[i]), test::is_complete(*started[i]));
                CPPUNIT_ASSERT_EQUAL(wholes[i], test::read_stream(started[i]->m_body).m_text);
            }
        };

        // The engine with the most of these streams falls silent in the midst of them.
        std::vector<std::uint64_t> before;
        for (std::size_t i = 0; i < m_fleet->engines(); ++i)
        {
            before.push_back(stats(m_fleet->engine(i)).at("requests"));
        }
        const auto running = send_all();
        m_fleet->run_for(400ms);
        std::size_t silent = 0;
        std::uint64_t most = 0;
        for (std::size_t i = 0; i < m_fleet->engines(); ++i)
        {
            const std::uint64_t now = stats(m_fleet->engine(i)).at("requests");
            silent = now - before[i] > most ? i : silent;
            most = std::max(most, now - before[i]);
        }
        CPPUNIT_ASSERT(most > 0);
        faults(m_fleet->engine(silent), R"({"hang":true})");
        expect_whole(send_all());
        expect_whole(running);

        // It answers again, and gets work again.
        faults(m_fleet->engine(silent), R"({"hang":false})");
        const std::uint64_t completed = stats(m_fleet->engine(silent)).at("completed");
        int turn = 0;
        m_fleet->run_until(
            [&] {
                const std::size_t entry = static_cast<std::size_t>(turn) % instances;
                const auto fresh = test::completion_body("fresh " + std::to_string(turn++), 1, 2);
                const auto answer = ask(entry, fresh, m_court);
                CPPUNIT_ASSERT_MESSAGE(test::seen(answer), test::is_complete(answer));
                return stats(m_fleet->engine(silent)).at("completed") > completed;
            },
            20s);
    }

    void fleet_serves_while_the_platform_is_down()
    {
        // The outage outlasts the store's own word on keys twice, so that peers have to vouch.
        begin({"--entry-flag=--key_freshness=3000"});
        faults(m_fleet->platform(), R"({"table_down":true,"object_down":true,"list_down":true})");
        const auto end = clock_type::now() + 6s;
        answers started; // half of either workspace's rate at most
        while (clock_type::now() < end)
        {
            const std::size_t number = started.size();
            const auto body = test::completion_body("down " + std::to_string(number % 5), 1, 40);
            started.push_back(
                start(number % instances, body, number % 4 == 0 ? m_ministry : m_court));
            m_fleet->run_for(100ms);
        }
        finish(started);
        for (const auto& each : started)
        {
            CPPUNIT_ASSERT_MESSAGE(test::seen(*each), test::is_complete(*each));
        }

        // Once the platform is back, a change gets in force everywhere.
        faults(m_fleet->platform(),
               R"({"table_down":false,"object_down":false,"list_down":false})");
        const std::string draft = signed_draft({"alice", "bob", "carol"}, 403);
        administer("POST", 1, draft + "/roll", "alice", "{}");
        m_fleet->run_until(
            [&] {
                return output_limit(0) == 403 && output_limit(1) == 403 && output_limit(2) == 403;
            },
            15s);
        CPPUNIT_ASSERT(test::is_complete(ask(0, test::completion_body("after", 1, 2), m_court)));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(partition_test, "processes");
