#include "unit_tests/platform/relay_fixture.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;
using namespace std::chrono_literals;

/// Streams that are slow but sound, and streams that only look alive.
class stream_pace_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(stream_pace_test);
    CPPUNIT_TEST(slow_stream_is_passed_on_whole);
    CPPUNIT_TEST(stream_that_trickles_without_an_event_ends_with_its_time);
    CPPUNIT_TEST(stream_of_endless_events_ends_with_its_time);
    CPPUNIT_TEST_SUITE_END();

    /// An event in a chunk of its own.
    static std::string chunk(const std::string& text)
    {
        return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
    }

public:
    /// The pause is longer than the target latency and shorter than the route's time.
    void slow_stream_is_passed_on_whole()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) {
            reply slow{events(1, 1)};
            slow.m_late = chunk("id: 2\ndata: t2\n\n") + end_of_chunks;
            slow.m_late_after = 700ms;
            return slow;
        });
        const auto result = send(request());
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"),
                             result.m_response.body());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_upstreams.front()->m_requests.size());
    }

    void stream_that_trickles_without_an_event_ends_with_its_time()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) {
            reply trickle{events(1, 1)};
            trickle.m_endless = chunk("x");
            return trickle;
        });
        CPPUNIT_ASSERT(!send(request()).m_ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_relay->in_flight());
        m_loop.run_until([this] { return m_upstreams.front()->m_closed_by_client == 1; });
        CPPUNIT_ASSERT(!m_upstreams.front()->m_overrun);
    }

    void stream_of_endless_events_ends_with_its_time()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) {
            reply endless{events(1, 1)};
            endless.m_endless = chunk("data: t\n\n");
            return endless;
        });
        CPPUNIT_ASSERT(!send(request()).m_ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_relay->in_flight());
        m_loop.run_until([this] { return m_upstreams.front()->m_closed_by_client == 1; });
        CPPUNIT_ASSERT(!m_upstreams.front()->m_overrun);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stream_pace_test, "platform");
