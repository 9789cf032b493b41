#include "unit_tests/processes/fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using nlohmann::json;

/// Operators and callers at several instances at once, over loopback.
class contention_test : public test::fleet_fixture
{
    CPPUNIT_TEST_SUITE(contention_test);
    CPPUNIT_TEST(one_of_two_racing_rolls_wins_and_versions_never_go_back);
    CPPUNIT_TEST(rate_holds_over_all_entries_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_of_two_racing_rolls_wins_and_versions_never_go_back()
    {
        begin();
        const std::vector<std::uint64_t> limits{401, 402};
        const std::vector<std::string> drafts{signed_draft({"alice", "bob", "carol"}, limits[0]),
                                              signed_draft({"bob", "carol", "alice"}, limits[1])};
        answers started;
        for (std::size_t i = 0; i < drafts.size(); ++i)
        {
            started.push_back(m_fleet->start("POST", m_fleet->admin(i), drafts[i] + "/roll", "{}",
                                             test::bearer("op-alice")));
        }
        m_fleet->run_until([&] { return started[0]->m_ended && started[1]->m_ended; });
        const auto rolled = clock_type::now();
        const std::size_t winner = started[0]->m_status == 200 ? 0 : 1;
        const test::process_answer& lost = *started[1 - winner];
        CPPUNIT_ASSERT_EQUAL_MESSAGE(started[winner]->m_body, 200U, started[winner]->m_status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lost.m_body, 409U, lost.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                             json::parse(lost.m_body).at("title").get<std::string>());

        // Every instance reaches the winner's bundle and stays there.
        std::vector<std::uint64_t> newest(instances, 1);
        const auto poll = [&] {
            bool everywhere = true;
            for (std::size_t i = 0; i < instances; ++i)
            {
                const std::uint64_t now = version(i);
                CPPUNIT_ASSERT(now >= newest[i] && now <= 2);
                newest[i] = now;
                everywhere = everywhere && now == 2 && output_limit(i) == limits[winner];
            }
            return everywhere;
        };
        m_fleet->run_until(
            poll, std::chrono::ceil<std::chrono::milliseconds>(rolled + 15s - clock_type::now()));
        for (int i = 0; i < 10; ++i)
        {
            m_fleet->run_for(200ms);
            CPPUNIT_ASSERT(poll());
        }
        // The loser's draft stays refused at every instance.
        for (std::size_t i = 0; i < instances; ++i)
        {
            const auto again =
                m_fleet->call("POST", m_fleet->admin(i), drafts[1 - winner] + "/roll", "{}",
                              test::bearer("op-bob"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(again.m_body, 409U, again.m_status);
        }
        CPPUNIT_ASSERT(poll());
    }

    void rate_holds_over_all_entries_at_once()
    {
        constexpr std::uint64_t rate = 5000;    // tokens per second, as in the sample
        constexpr std::uint64_t burst = 100000; // tokens, as in the sample
        constexpr std::size_t output = 20;
        constexpr std::size_t senders = 24;
        begin();
        const std::string body = test::completion_body("ministry", 1, output);
        const json messages = json::parse(body).at("messages");
        std::uint64_t prompt_bytes = 0;
        for (const json& message : messages)
        {
            prompt_bytes += message.at("content").get<std::string>().size();
        }
        const std::uint64_t charge = prompt_bytes / 4 + output;

        // Each sender has one request on its way, and sends the next as soon as it is answered.
        answers sending(senders);
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        const auto begun = clock_type::now();
        const auto collect = [&](bool send) {
            bool idle = true;
            for (std::size_t i = 0; i < senders; ++i)
            {
                if (sending[i] && !sending[i]->m_ended)
                {
                    idle = false;
                    continue;
                }
                if (sending[i])
                {
                    admitted += sending[i]->m_status == 200 ? 1 : 0;
                    refused += sending[i]->m_status == 429 ? 1 : 0;
                }
                sending[i].reset();
                if (send)
                {
                    sending[i] = start(i % instances, body, m_ministry);
                }
            }
            // What was admitted by now fits into the burst and the rate since the start.
            const std::chrono::duration<double> elapsed = clock_type::now() - begun;
            const double most = burst + rate * elapsed.count();
            CPPUNIT_ASSERT(static_cast<double>(admitted * charge) <= most);
            return idle;
        };
        answers others;
        auto next_other = begun;
        while (clock_type::now() < begun + 6s)
        {
            collect(true);
            if (clock_type::now() >= next_other)
            {
                next_other += 200ms;
                others.push_back(
                    start(others.size() % instances,
                          test::completion_body("court " + std::to_string(others.size() % 4), 1, 5),
                          m_court));
            }
            m_fleet->run_for(5ms);
        }
        m_fleet->run_until([&] { return collect(false); });
        CPPUNIT_ASSERT(refused > 0);
        const std::string counts =
            std::to_string(admitted * charge) + " tokens, refused " + std::to_string(refused);
        // Each of the three shares may end with less than one charge left.
        CPPUNIT_ASSERT_MESSAGE(counts, (admitted + instances) * charge >= rate * 6);
        finish(others);
        for (std::size_t i = 0; i < others.size(); ++i)
        {
            const std::string message = "number " + std::to_string(i) + " of " +
                                        std::to_string(others.size()) + ": " +
                                        test::seen(*others[i]);
            CPPUNIT_ASSERT_MESSAGE(message, test::is_complete(*others[i]));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(contention_test, "processes");
