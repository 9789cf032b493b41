#include "platform/engine_client.hpp"
#include "unit_tests/platform/scripted_upstream.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <atomic>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using test::scripted_upstream;

/// Answers to orders, which carry no id.
class order_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_answer_test);
    CPPUNIT_TEST(repeated_report_is_not_taken_for_the_answer_to_an_order);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;
    net::duty m_home{"home", 64};
    net::duty m_calls{"calls", 64};

public:
    /// The engine writes its report once more before its next answer on the same connection.
    void repeated_report_is_not_taken_for_the_answer_to_an_order()
    {
        const std::string report = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}";
        const std::string conflict = "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n";
        int requests = 0;
        int connections_at_report = 0;
        scripted_upstream* server = nullptr;
        scripted_upstream engine_server(m_loop.m_context, [&](const std::string&) {
            if (++requests == 1)
            {
                connections_at_report = server->m_connections;
                return scripted_upstream::reply{report};
            }
            const bool is_kept = server->m_connections == connections_at_report;
            return scripted_upstream::reply{is_kept ? report + conflict : conflict};
        });
        server = &engine_server;
        platform::engine_client client(m_calls, m_home, "holder");
        m_home.start();
        m_calls.start();
        relay::upstream_record engine;
        engine.m_name = "e";
        engine.m_endpoint = net::make_endpoint("127.0.0.1", engine_server.port());
        std::atomic<bool> reported{false};
        client.read_report(engine, "m", [&reported](const auto&) { reported = true; });
        m_loop.run_until([&reported] { return reported.load(); });
        std::atomic<bool> answered{false};
        std::atomic<placement::order_answer> answer{placement::order_answer::lost};
        client.order(engine, {}, 1, [&](placement::order_answer told) {
            answer = told;
            answered = true;
        });
        m_loop.run_until([&answered] { return answered.load(); });
        m_calls.stop();
        m_home.stop();
        CPPUNIT_ASSERT_EQUAL(2, requests);
        CPPUNIT_ASSERT(answer == placement::order_answer::conflict);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(order_answer_test, "platform");
