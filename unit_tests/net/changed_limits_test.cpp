#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/net/timer.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <thread>

using namespace tarragontrail;
using namespace std::chrono_literals;

/// Limits that change while connections are open. The clock is paused.
class changed_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(changed_limits_test);
    CPPUNIT_TEST(connection_that_is_idle_when_its_time_grows_is_kept_for_the_longer_time);
    CPPUNIT_TEST(connection_that_is_idle_when_its_time_shrinks_is_kept_for_the_earlier_time);
    CPPUNIT_TEST(request_on_an_idle_connection_is_held_to_the_limits_at_its_first_byte);
    CPPUNIT_TEST(first_request_of_a_connection_is_held_to_the_limits_at_its_first_byte);
    CPPUNIT_TEST(request_that_is_arriving_keeps_the_limits_of_its_first_byte);
    CPPUNIT_TEST(connection_that_sends_nothing_is_refused_after_the_read_timeout);
    CPPUNIT_TEST(request_read_before_a_leaving_server_answers_the_last_is_answered);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds shorter = 100ms;
    static constexpr std::chrono::milliseconds longer = 1'000ms;
    static constexpr std::size_t smaller_body_bytes = 10;
    static constexpr std::size_t larger_body_bytes = 1'000;

    test::loop_client m_loop;
    boost::asio::io_context& m_context = m_loop.m_context;
    net::http_server_settings m_settings;
    std::unique_ptr<net::http_server> m_server;
    std::vector<std::shared_ptr<net::http_exchange>> m_taken; // each request that was handed on

    /// Handles everything that is due.
    void run_what_is_due()
    {
        std::this_thread::sleep_for(5 * net::runtime_wait_traits::paused_poll);
        m_context.restart();
        while (m_context.run_one_for(5ms) > 0)
        {}
    }

    static std::string request_text(const std::string& body)
    {
        return fmt::format("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}",
                           body.size(), body);
    }

    void connect(net::tcp::socket& socket)
    {
        socket.connect(net::make_endpoint("127.0.0.1", m_server->port()));
        run_what_is_due();
    }

    void send(net::tcp::socket& socket, const std::string& bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
        run_what_is_due();
    }

    /// What has arrived on a connection, or the reason of its end.
    std::string receive(net::tcp::socket& socket)
    {
        run_what_is_due();
        std::string received(65'536, '\0');
        boost::system::error_code error;
        socket.non_blocking(true, error);
        received.resize(socket.read_some(boost::asio::buffer(received), error));
        return error && error != boost::asio::error::would_block ? error.message() : received;
    }

    void answer_last(const std::string& body)
    {
        m_taken.back()->respond(net::make_json_response(200, body));
    }

    /// A connection on which one request was answered.
    void keep(net::tcp::socket& socket)
    {
        connect(socket);
        send(socket, request_text("one"));
        answer_last("first");
        CPPUNIT_ASSERT(receive(socket).ends_with("first"));
    }

    void change_idle_time(std::chrono::milliseconds limit)
    {
        m_settings.m_keep_alive_timeout = limit;
        m_server->update(m_settings);
    }

    void change_body_limit(std::size_t bytes)
    {
        m_settings.m_body_limit_bytes = bytes;
        m_server->update(m_settings);
    }

    void advance(std::chrono::milliseconds time)
    {
        core::runtime_clock::advance(time);
        run_what_is_due();
    }

    void expect_next_is_answered(net::tcp::socket& socket)
    {
        const std::size_t taken = m_taken.size();
        send(socket, request_text("two"));
        CPPUNIT_ASSERT_EQUAL(taken + 1, m_taken.size());
        answer_last("second");
        CPPUNIT_ASSERT(receive(socket).ends_with("second"));
    }

public:
    void setUp() override
    {
        core::runtime_clock::pause();
        m_settings.m_keep_alive_timeout = shorter;
        m_settings.m_body_limit_bytes = smaller_body_bytes;
        m_server = std::make_unique<net::http_server>(
            m_context, net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), m_settings,
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
                m_taken.push_back(exchange);
            },
            [](net::request_fault fault) {
                return net::make_json_response(400 + static_cast<unsigned>(fault), "{}");
            });
    }

    void tearDown() override
    {
        m_taken.clear();
        m_server.reset();
        core::runtime_clock::resume();
    }

    void connection_that_is_idle_when_its_time_grows_is_kept_for_the_longer_time()
    {
        net::tcp::socket socket(m_context);
        keep(socket);
        advance(shorter / 2);
        change_idle_time(longer);
        advance(longer * 4 / 5 - shorter / 2);
        CPPUNIT_ASSERT_EQUAL(std::string(), receive(socket));
        expect_next_is_answered(socket);
    }

    void connection_that_is_idle_when_its_time_shrinks_is_kept_for_the_earlier_time()
    {
        change_idle_time(longer);
        net::tcp::socket socket(m_context);
        keep(socket);
        advance(shorter / 2);
        change_idle_time(shorter);
        advance(longer * 4 / 5 - shorter / 2);
        CPPUNIT_ASSERT_EQUAL(std::string(), receive(socket));
        advance(longer / 5 + 1ms);
        CPPUNIT_ASSERT_EQUAL(std::string("End of file"), receive(socket));
    }

    void request_on_an_idle_connection_is_held_to_the_limits_at_its_first_byte()
    {
        net::tcp::socket socket(m_context);
        keep(socket);
        change_body_limit(larger_body_bytes);
        send(socket, request_text(std::string(larger_body_bytes, 'x')));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_taken.size());
    }

    void first_request_of_a_connection_is_held_to_the_limits_at_its_first_byte()
    {
        net::tcp::socket socket(m_context);
        connect(socket);
        change_body_limit(larger_body_bytes);
        send(socket, request_text(std::string(larger_body_bytes, 'x')));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_taken.size());
    }

    void request_that_is_arriving_keeps_the_limits_of_its_first_byte()
    {
        change_body_limit(larger_body_bytes);
        net::tcp::socket socket(m_context);
        connect(socket);
        const std::string text = request_text(std::string(larger_body_bytes, 'x'));
        send(socket, text.substr(0, 10));
        change_body_limit(smaller_body_bytes);
        send(socket, text.substr(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_taken.size());
    }

    void connection_that_sends_nothing_is_refused_after_the_read_timeout()
    {
        net::tcp::socket socket(m_context);
        connect(socket);
        advance(m_settings.m_read_timeout + 1ms);
        CPPUNIT_ASSERT(receive(socket).starts_with("HTTP/1.1 403"));
    }

    void request_read_before_a_leaving_server_answers_the_last_is_answered()
    {
        net::tcp::socket socket(m_context);
        connect(socket);
        send(socket, request_text("one") + request_text("two"));
        m_server->announce_leaving();
        answer_last("first");
        CPPUNIT_ASSERT(receive(socket).ends_with("first"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_taken.size());
        answer_last("second");
        const std::string last = receive(socket);
        CPPUNIT_ASSERT(last.ends_with("second"));
        CPPUNIT_ASSERT(last.find("Connection: close") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(changed_limits_test, "net");
