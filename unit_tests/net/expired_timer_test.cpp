#include "tarragontrail/net/http_client.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/net/timer.hpp"

#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <optional>
#include <thread>

using namespace tarragontrail;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

/// Timers that expire while the loop does not run, beside events that set them anew.
///
/// The clock is paused: each test advances it past a deadline and then lets the loop run once, so
/// that the event and the expiry are handled in the same turn.
class expired_timer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(expired_timer_test);
    CPPUNIT_TEST(get_that_arrives_as_the_connection_turns_idle_is_answered);
    CPPUNIT_TEST(post_that_arrives_as_the_connection_turns_idle_is_answered);
    CPPUNIT_TEST(requests_of_many_kept_connections_survive_a_stopped_loop);
    CPPUNIT_TEST(request_whose_end_arrives_as_the_read_timeout_passes_is_answered);
    CPPUNIT_TEST(stalled_body_on_a_kept_connection_is_refused);
    CPPUNIT_TEST(request_that_begins_late_in_the_idle_time_is_not_refused);
    CPPUNIT_TEST(caller_that_sends_without_end_after_its_answer_is_left);
    CPPUNIT_TEST(connection_that_is_made_as_its_timeout_passes_is_used);
    CPPUNIT_TEST(answer_that_arrives_as_its_timeout_passes_is_taken);
    CPPUNIT_TEST(handler_of_a_timer_that_was_set_anew_is_not_called);
    CPPUNIT_TEST(handler_of_a_timer_that_was_cancelled_is_not_called);
    CPPUNIT_TEST(handler_of_a_timer_that_is_gone_is_not_called);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds keep_alive = 100ms;
    static constexpr std::chrono::milliseconds read_timeout = 200ms;

    boost::asio::io_context m_context;
    std::unique_ptr<net::http_server> m_server;
    std::vector<std::shared_ptr<net::http_exchange>> m_waiting; // requests handed on, not answered
    int m_callers_gone = 0;

    net::tcp::endpoint endpoint() const
    {
        return net::make_endpoint("127.0.0.1", m_server->port());
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        const auto give_up = std::chrono::steady_clock::now() + 20s;
        m_context.restart();
        while (!condition() && std::chrono::steady_clock::now() < give_up)
        {
            m_context.run_one_for(5ms);
        }
        CPPUNIT_ASSERT(condition());
    }

    /// Handles everything that is due, as a loop does that was busy or stopped until now.
    void run_what_is_due()
    {
        // While the clock is paused the kernel wakes the loop for its timers once a millisecond.
        std::this_thread::sleep_for(5 * net::runtime_wait_traits::paused_poll);
        m_context.restart();
        while (m_context.run_one_for(5ms) > 0)
        {}
    }

    /// Answers as an upstream does: in a later turn of the loop.
    void answer_waiting()
    {
        for (const auto& exchange : std::exchange(m_waiting, {}))
        {
            exchange->respond(net::make_json_response(200, exchange->request().body()));
        }
    }

    static std::string request_text(const std::string& method, const std::string& body)
    {
        return fmt::format("{} /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}", method,
                           body.size(), body);
    }

    /// What a caller has received on its connection so far.
    struct caller
    {
        explicit caller(boost::asio::io_context& context) : m_socket(context) {}

        net::tcp::socket m_socket;
        std::array<char, 4096> m_piece{};
        std::string m_received;
        bool m_closed = false;

        void send(const std::string& bytes)
        {
            boost::asio::write(m_socket, boost::asio::buffer(bytes));
        }

        void read()
        {
            m_socket.async_read_some(boost::asio::buffer(m_piece),
                                     [this](boost::system::error_code error, std::size_t size) {
                                         m_closed = bool(error);
                                         m_received.append(m_piece.data(), size);
                                         if (!error)
                                         {
                                             read();
                                         }
                                     });
        }
    };

    std::unique_ptr<caller> connect()
    {
        auto client = std::make_unique<caller>(m_context);
        client->m_socket.connect(endpoint());
        client->read();
        return client;
    }

    /// A connection on which one request was answered.
    std::unique_ptr<caller> kept_connection()
    {
        auto client = connect();
        client->send(request_text("GET", ""));
        run_until([this] { return !m_waiting.empty(); });
        answer_waiting();
        run_until([&client] { return !client->m_received.empty(); });
        client->m_received.clear();
        return client;
    }

    void expect_answer_after_idle_timeout(const std::string& method, const std::string& body)
    {
        const auto client = kept_connection();
        client->send(request_text(method, body));
        core::runtime_clock::advance(keep_alive + 50ms);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_waiting.size());
        CPPUNIT_ASSERT_MESSAGE("closed with a request handed on and unanswered", !client->m_closed);
        answer_waiting();
        run_until([&client] { return client->m_closed || !client->m_received.empty(); });
        CPPUNIT_ASSERT(client->m_received.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(0, m_callers_gone);
    }

public:
    void setUp() override
    {
        core::runtime_clock::pause();
        net::http_server_settings settings;
        settings.m_keep_alive_timeout = keep_alive;
        settings.m_read_timeout = read_timeout;
        m_server = std::make_unique<net::http_server>(
            m_context, net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), settings,
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
                exchange->on_client_gone([this](net::close_cause) { ++m_callers_gone; });
                m_waiting.push_back(exchange);
            },
            [](net::request_fault fault) {
                return net::make_json_response(400 + static_cast<unsigned>(fault), "{}");
            });
    }

    void tearDown() override
    {
        m_waiting.clear();
        m_server.reset();
        core::runtime_clock::resume();
    }

    void get_that_arrives_as_the_connection_turns_idle_is_answered()
    {
        expect_answer_after_idle_timeout("GET", "");
    }

    void post_that_arrives_as_the_connection_turns_idle_is_answered()
    {
        expect_answer_after_idle_timeout("POST", std::string(100, 'x'));
    }

    void requests_of_many_kept_connections_survive_a_stopped_loop()
    {
        constexpr std::size_t connections = 64;
        std::vector<std::unique_ptr<caller>> clients;
        for (std::size_t i = 0; i < connections; ++i)
        {
            clients.push_back(kept_connection());
        }
        for (const auto& client : clients)
        {
            client->send(request_text("POST", "x"));
        }
        core::runtime_clock::advance(10s);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(connections, m_waiting.size());
        answer_waiting();
        run_until([&clients] {
            return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
                return client->m_closed || !client->m_received.empty();
            });
        });
        for (const auto& client : clients)
        {
            CPPUNIT_ASSERT(client->m_received.starts_with("HTTP/1.1 200"));
        }
    }

    void request_whose_end_arrives_as_the_read_timeout_passes_is_answered()
    {
        const auto client = connect();
        const std::string text = request_text("POST", std::string(100, 'x'));
        client->send(text.substr(0, text.size() - 10));
        run_what_is_due();
        client->send(text.substr(text.size() - 10));
        core::runtime_clock::advance(read_timeout + 50ms);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_waiting.size());
        answer_waiting();
        run_until([&client] { return client->m_closed || !client->m_received.empty(); });
        CPPUNIT_ASSERT(client->m_received.starts_with("HTTP/1.1 200"));
    }

    void stalled_body_on_a_kept_connection_is_refused()
    {
        const auto client = kept_connection();
        const std::string text = request_text("POST", std::string(100, 'x'));
        client->send(text.substr(0, text.size() - 10));
        run_what_is_due();
        core::runtime_clock::advance(read_timeout + 50ms);
        run_until([&client] { return client->m_closed || !client->m_received.empty(); });
        CPPUNIT_ASSERT_MESSAGE("closed without an answer",
                               client->m_received.starts_with("HTTP/1.1 403"));
    }

    void request_that_begins_late_in_the_idle_time_is_not_refused()
    {
        const auto client = kept_connection();
        const std::string text = request_text("POST", "x");
        core::runtime_clock::advance(keep_alive - 10ms);
        run_what_is_due();
        client->send(text.substr(0, 20));
        run_what_is_due();
        core::runtime_clock::advance(50ms);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(std::string(), client->m_received);
        client->send(text.substr(20));
        run_until([&] { return client->m_closed || !m_waiting.empty(); });
        answer_waiting();
        run_until([&client] { return client->m_closed || !client->m_received.empty(); });
        CPPUNIT_ASSERT(client->m_received.starts_with("HTTP/1.1 200"));
    }

    void caller_that_sends_without_end_after_its_answer_is_left()
    {
        const auto client = connect();
        client->send("no http at all\r\n\r\n");
        run_until([&client] { return !client->m_received.empty(); });
        for (int i = 0; i < 8; ++i)
        {
            boost::system::error_code ignored;
            boost::asio::write(client->m_socket, boost::asio::buffer(std::string(100, 'x')),
                               ignored);
            run_what_is_due();
            core::runtime_clock::advance(100ms);
        }
        run_until([this] { return m_server->connection_count() == 0; });
    }

    void connection_that_is_made_as_its_timeout_passes_is_used()
    {
        net::http_client client(m_context);
        std::optional<net::http_client::fetch_result> result;
        net::call_settings settings;
        settings.m_connect_timeout = 50ms;
        client.fetch(
            endpoint(), net::make_request(http::verb::post, "/", "x"), settings,
            [&result](net::http_client::fetch_result value) { result = std::move(value); });
        m_context.restart();
        m_context.poll_one();
        core::runtime_clock::advance(settings.m_connect_timeout + 1ms);
        run_until([this, &result] { return result || !m_waiting.empty(); });
        answer_waiting();
        run_until([&result] { return result.has_value(); });
        CPPUNIT_ASSERT(result->m_ok);
    }

    void answer_that_arrives_as_its_timeout_passes_is_taken()
    {
        net::http_client client(m_context);
        std::optional<net::http_client::fetch_result> result;
        net::call_settings settings;
        settings.m_first_byte_timeout = 50ms;
        client.fetch(endpoint(), net::make_request(http::verb::post, "/", std::string(40'000, 'x')),
                     settings, [&result](net::http_client::fetch_result value) {
                         result = std::move(value);
                     });
        run_until([this] { return !m_waiting.empty(); });
        answer_waiting();
        core::runtime_clock::advance(settings.m_first_byte_timeout + 1ms);
        run_until([&result] { return result.has_value(); });
        CPPUNIT_ASSERT(result->m_ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40'000}, result->m_response.body().size());
    }

    void handler_of_a_timer_that_was_set_anew_is_not_called()
    {
        net::timer first(m_context);
        net::timer second(m_context);
        int early = 0;
        int renewed = 0;
        first.run_after(10ms, [&] { second.run_after(1s, [&renewed] { ++renewed; }); });
        second.run_after(11ms, [&early] { ++early; });
        core::runtime_clock::advance(20ms);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(0, early);
        core::runtime_clock::advance(1s);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(1, renewed);
    }

    void handler_of_a_timer_that_was_cancelled_is_not_called()
    {
        net::timer first(m_context);
        net::timer second(m_context);
        int called = 0;
        first.run_after(10ms, [&second] { second.cancel(); });
        second.run_after(11ms, [&called] { ++called; });
        core::runtime_clock::advance(20ms);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(0, called);
    }

    void handler_of_a_timer_that_is_gone_is_not_called()
    {
        net::timer first(m_context);
        auto second = std::make_unique<net::timer>(m_context);
        int called = 0;
        first.run_after(10ms, [&second] { second.reset(); });
        second->run_after(11ms, [&called] { ++called; });
        core::runtime_clock::advance(20ms);
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(0, called);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(expired_timer_test, "net");
