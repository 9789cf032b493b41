#include "unit_tests/processes/process_fleet.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace tarragontrail;
using namespace std::chrono_literals;
using nlohmann::json;

/// New weights are rolled over real engines while callers are served.
class rollout_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_test);
    CPPUNIT_TEST(new_weights_reach_all_engines_under_traffic);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<test::process_fleet> m_fleet;

    json admin(const std::string& method, const std::string& path, const std::string& body,
               const std::string& name)
    {
        const test::process_answer answer = m_fleet->call(method, m_fleet->admin(0), path, body,
                                                          {{"Authorization", "Bearer op-" + name}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_body, 200U, answer.m_status);
        return json::parse(answer.m_body);
    }

    /// Puts the next bundle in force, with other weights for the model.
    void roll_weights(const std::string& version)
    {
        json bundle = admin("GET", "/admin/v1/bundle", {}, "alice");
        bundle["version"] = bundle["version"].get<std::uint64_t>() + 1;
        bundle["models"][0]["weights_version"] = version;
        const json submitted = admin("POST", "/admin/v1/drafts", bundle.dump(), "alice");
        const std::string draft =
            "/admin/v1/drafts/" + submitted["draft"]["name"].get<std::string>();
        admin("POST", draft + "/review", "{}", "bob");
        admin("POST", draft + "/sign_off", "{}", "carol");
        admin("POST", draft + "/roll", "{}", "alice");
    }

    std::uint64_t weights_of(std::size_t engine)
    {
        const test::process_answer answer = m_fleet->call("GET", m_fleet->engine(engine), "/stats");
        return json::parse(answer.m_body)["weights_version"];
    }

    bool all_have(std::uint64_t version)
    {
        for (std::size_t i = 0; i < m_fleet->engines(); ++i)
        {
            if (weights_of(i) != version)
            {
                return false;
            }
        }
        return true;
    }

    /// One completion; refusals by an empty share do not count.
    void expect_served(std::size_t entry)
    {
        const std::string body = test::completion_body("roll-out", 2, 10);
        test::process_answer answer;
        do
        {
            answer = m_fleet->call("POST", m_fleet->entry(entry), "/v1/chat/completions", body,
                                   {{"Authorization", "Bearer tt-court-1"}});
        } while (answer.m_status == 429);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_body, 200U, answer.m_status);
        CPPUNIT_ASSERT(test::read_stream(answer.m_body).m_has_end);
    }

public:
    void tearDown() override { m_fleet.reset(); }

    void new_weights_reach_all_engines_under_traffic()
    {
        m_fleet = std::make_unique<test::process_fleet>("small");
        expect_served(0);
        roll_weights("2");
        std::size_t turn = 0;
        m_fleet->run_until(
            [&] {
                expect_served(turn++ % 3);
                return all_have(2);
            },
            60s);

        // Every entry knows the new weights and still serves; no more than two loads ran at once.
        m_fleet->run_for(1500ms);
        for (std::size_t i = 0; i < 3; ++i)
        {
            expect_served(i);
        }
        const json stats = json::parse(m_fleet->call("GET", m_fleet->platform(), "/stats").m_body);
        CPPUNIT_ASSERT(stats["max_concurrent_weight_loads"].get<std::uint64_t>() <= 2);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rollout_test, "processes");
