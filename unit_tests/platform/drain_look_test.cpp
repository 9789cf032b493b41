#include "unit_tests/platform/relay_fixture.hpp"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using namespace tarragontrail::test;

/// Looks of a drain at connections on which a request arrives: it may end only without one.
class drain_look_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(drain_look_test);
    CPPUNIT_TEST(kept_connection_without_bytes_is_idle);
    CPPUNIT_TEST(request_whose_first_bytes_are_read_is_waited_for);
    CPPUNIT_TEST(request_that_lies_unread_is_waited_for);
    CPPUNIT_TEST(request_behind_an_answer_is_waited_for);
    CPPUNIT_TEST(connection_that_is_not_accepted_yet_is_waited_for);
    CPPUNIT_TEST(caller_that_sends_without_pause_is_asked_to_leave);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<boost::asio::ip::tcp::socket> m_caller;

    static std::string request_text()
    {
        return "POST /a/b HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r1\r\n"
               "Authorization: Token k\r\nContent-Length: 8\r\n\r\nquestion";
    }

    void connect()
    {
        m_caller = std::make_unique<boost::asio::ip::tcp::socket>(m_loop.m_context);
        m_caller->connect({boost::asio::ip::address_v4::loopback(), m_port});
    }

    void write(std::string_view bytes)
    {
        boost::asio::write(*m_caller, boost::asio::buffer(bytes.data(), bytes.size()));
    }

    /// Handles what is due.
    void run_what_is_due()
    {
        m_loop.m_context.restart();
        while (m_loop.m_context.run_one_for(20ms) > 0)
        {}
    }

    /// Waits for the whole answer and takes it from the socket.
    void take_answer()
    {
        std::string received;
        m_loop.run_until([this, &received] {
            std::string piece(m_caller->available(), '\0');
            boost::asio::read(*m_caller, boost::asio::buffer(piece));
            received += piece;
            return received.ends_with("\r\n\r\nanswer");
        });
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 200"));
    }

    void expect_answer_before_idle()
    {
        CPPUNIT_ASSERT_MESSAGE("ends with a request", !m_relay->is_idle());
        take_answer();
        run_what_is_due();
        CPPUNIT_ASSERT(m_relay->is_idle());
    }

public:
    void setUp() override
    {
        relay_fixture::setUp();
        configure(relay::request_kind::idempotent);
        add_upstream([](const std::string&) { return reply{whole("answer")}; });
    }

    void tearDown() override
    {
        m_caller.reset();
        relay_fixture::tearDown();
    }

    void kept_connection_without_bytes_is_idle()
    {
        connect();
        run_what_is_due();
        CPPUNIT_ASSERT(m_relay->is_idle());
        write(request_text());
        take_answer();
        run_what_is_due();
        CPPUNIT_ASSERT(m_relay->is_idle());
    }

    void request_whose_first_bytes_are_read_is_waited_for()
    {
        const std::string text = request_text();
        // Within the head, and within the body.
        for (const std::size_t first : {std::size_t{30}, text.size() - 3})
        {
            connect();
            write(text.substr(0, first));
            run_what_is_due();
            CPPUNIT_ASSERT_MESSAGE("ends with a request", !m_relay->is_idle());
            write(text.substr(first));
            expect_answer_before_idle();
        }
    }

    void request_that_lies_unread_is_waited_for()
    {
        connect();
        run_what_is_due();
        write(request_text());
        expect_answer_before_idle();
    }

    void request_behind_an_answer_is_waited_for()
    {
        connect();
        write(request_text() + request_text());
        m_loop.run_until([this] { return m_upstreams.front()->m_requests.size() == 1; });
        while (m_upstreams.front()->m_requests.size() == 1)
        {
            CPPUNIT_ASSERT_MESSAGE("ends with a request", !m_relay->is_idle());
            m_loop.m_context.run_one_for(20ms);
        }
    }

    void connection_that_is_not_accepted_yet_is_waited_for()
    {
        connect();
        write(request_text());
        expect_answer_before_idle();
    }

    void caller_that_sends_without_pause_is_asked_to_leave()
    {
        connect();
        m_relay->announce_leaving();
        write(request_text() + request_text() + request_text());
        m_loop.run_until([this] { return m_upstreams.front()->m_requests.size() == 2; });
        m_relay->end_pipelines();
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_upstreams.front()->m_requests.size());
        CPPUNIT_ASSERT(m_relay->is_idle());
        boost::system::error_code end;
        std::string received;
        boost::asio::read(*m_caller, boost::asio::dynamic_buffer(received), end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             std::size_t(std::count(received.begin(), received.end(), 'w')));
        CPPUNIT_ASSERT(received.find("Connection: close") > received.find("answer"));
        CPPUNIT_ASSERT(end == boost::asio::error::eof);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(drain_look_test, "platform");
