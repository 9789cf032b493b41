#include "stand_ins/platform_server.hpp"
#include "stand_ins/service_server.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace tarragontrail;
using verb = boost::beast::http::verb;

/// Table under racing writers and lost messages; instance list; executions of a service.
class platform_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_test);
    CPPUNIT_TEST(writes_take_effect_all_or_none);
    CPPUNIT_TEST(lost_reply_keeps_the_effect_and_dropped_request_has_none);
    CPPUNIT_TEST(instance_list_lags);
    CPPUNIT_TEST(service_counts_executions_behind_a_lost_answer);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;

    static config::platform_settings settings()
    {
        config::platform_settings settings;
        settings.m_port = 0;
        return settings;
    }

public:
    void writes_take_effect_all_or_none()
    {
        CPPUNIT_ASSERT(rc::check("all or none", [] {
            stand_ins::platform_table table;
            std::map<std::string, stand_ins::table_row> model;
            const auto steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step)
            {
                // Expected versions are right or off by one; keys are distinct within one step.
                std::vector<stand_ins::table_write> writes;
                std::optional<std::size_t> first_wrong;
                for (const char* key : {"a", "b", "c"})
                {
                    if (!*rc::gen::arbitrary<bool>())
                    {
                        continue;
                    }
                    const auto error = *rc::gen::weightedElement<std::uint64_t>({{4, 0}, {1, 1}});
                    if (error > 0 && !first_wrong)
                    {
                        first_wrong = writes.size();
                    }
                    writes.push_back(
                        {"t", key, model[key].m_version + error, std::to_string(step)});
                }
                const auto outcome = table.apply(writes);
                RC_ASSERT(outcome.m_failed_index == first_wrong);
                for (const auto& write : writes)
                {
                    model[write.m_key].m_version += first_wrong ? 0 : 1;
                    model[write.m_key].m_value =
                        first_wrong ? model[write.m_key].m_value : write.m_value;
                }
                for (const auto& [key, row] : model)
                {
                    const auto stored = table.get("t", key).value_or(stand_ins::table_row());
                    RC_ASSERT(stored.m_version == row.m_version);
                    RC_ASSERT(stored.m_value == row.m_value);
                }
            }
        }));
    }

    void lost_reply_keeps_the_effect_and_dropped_request_has_none()
    {
        const stand_ins::platform_server server(m_loop.m_context, settings());
        const std::string row = "/table/t/a%2Fb";
        m_loop.post(server.port(), "/faults", {{"lose_reply_fraction", 1.0}});
        const auto lost =
            m_loop.fetch(server.port(), verb::put, row + "?expected_version=0", "one");
        CPPUNIT_ASSERT(!lost.m_ok);

        m_loop.post(server.port(), "/faults",
                    {{"lose_reply_fraction", 0.0}, {"drop_request_fraction", 1.0}});
        const auto dropped =
            m_loop.fetch(server.port(), verb::put, row + "?expected_version=1", "two");
        CPPUNIT_ASSERT(!dropped.m_ok);

        m_loop.post(server.port(), "/faults", {{"drop_request_fraction", 0.0}});
        const auto read = m_loop.get(server.port(), "/table/t/a/b");
        CPPUNIT_ASSERT(read == nlohmann::json({{"value", "one"}, {"version", 1}}));
        const auto again =
            m_loop.fetch(server.port(), verb::put, row + "?expected_version=0", "one");
        CPPUNIT_ASSERT_EQUAL(409U, again.m_response.result_int());

        m_loop.post(server.port(), "/faults", {{"table_down", true}});
        const auto down = m_loop.fetch(server.port(), verb::get, row);
        CPPUNIT_ASSERT_EQUAL(503U, down.m_response.result_int());
    }

    void instance_list_lags()
    {
        config::platform_settings lagging = settings();
        lagging.m_list_lag = std::chrono::minutes(10);
        const stand_ins::platform_server late(m_loop.m_context, lagging);
        const stand_ins::platform_server prompt(m_loop.m_context, settings());
        for (const auto port : {late.port(), prompt.port()})
        {
            m_loop.fetch(port, verb::put, "/instances/entry-1", R"({"state":"live"})");
        }
        CPPUNIT_ASSERT(m_loop.get(late.port(), "/instances")["instances"].empty());
        const auto shown = m_loop.get(prompt.port(), "/instances")["instances"];
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shown.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), shown[0]["name"].get<std::string>());
    }

    void service_counts_executions_behind_a_lost_answer()
    {
        config::service_settings crashing;
        crashing.m_port = 0;
        crashing.m_crash_after_run = 1;
        const stand_ins::service_server server(m_loop.m_context, crashing);
        CPPUNIT_ASSERT(!m_loop.fetch(server.port(), verb::post, "/book", "{}").m_ok);
        CPPUNIT_ASSERT_EQUAL(1, m_loop.get(server.port(), "/stats")["executions"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(platform_test, "stand_ins");
