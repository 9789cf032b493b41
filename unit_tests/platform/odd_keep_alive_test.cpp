#include "unit_tests/platform/scripted_upstream.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using test::scripted_upstream;

/// Idle times that servers announce and that no clock holds.
class odd_keep_alive_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_keep_alive_test);
    CPPUNIT_TEST(connection_is_used_again_only_within_a_time_that_was_read);
    CPPUNIT_TEST_SUITE_END();

    /// Connections of two calls, one behind the other, at one moment of the clock.
    static int connections_with(const std::string& announced)
    {
        test::loop_client loop;
        scripted_upstream server(loop.m_context, [&announced](const std::string&) {
            return scripted_upstream::reply{"HTTP/1.1 200 X\r\nKeep-Alive: " + announced +
                                            "\r\nContent-Length: 0\r\n\r\n"};
        });
        core::runtime_clock::pause();
        for (int call = 0; call < 2; ++call)
        {
            loop.fetch(server.port(), boost::beast::http::verb::get, "/");
            core::runtime_clock::advance(std::chrono::milliseconds(1));
        }
        core::runtime_clock::resume();
        return server.m_connections;
    }

public:
    void connection_is_used_again_only_within_a_time_that_was_read()
    {
        for (const char* announced : {"timeout=5", "max=3, timeout=5", "timeout=5, max=100",
                                      "max=5", "timeout=86400", "timeout=18446744073709551615"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(announced, 1, connections_with(announced));
        }
        for (const char* announced :
             {"timeout=", "timeout=-1", "timeout=nan", "timeout=inf", "timeout=x5", "timeout=0",
              "timeout= 5", "timeout=99999999999999999999"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(announced, 2, connections_with(announced));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_keep_alive_test, "platform");
