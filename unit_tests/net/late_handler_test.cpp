#include "tarragontrail/net/http_client.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/net/timer.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <thread>
#include <unistd.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

/// Calls and events that come when their request, its caller or their deadline is over.
class late_handler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_handler_test);
    CPPUNIT_TEST(call_that_is_cancelled_before_it_starts_sends_nothing);
    CPPUNIT_TEST(late_answer_to_an_earlier_request_does_not_answer_the_next);
    CPPUNIT_TEST(late_abort_of_an_earlier_request_leaves_the_next_alone);
    CPPUNIT_TEST(late_call_of_an_earlier_request_does_not_hide_that_the_caller_left);
    CPPUNIT_TEST(request_whose_bytes_arrive_as_its_timeout_passes_is_refused);
    CPPUNIT_TEST(caller_that_leaves_behind_a_second_request_is_noticed);
    CPPUNIT_TEST(requests_sent_together_are_answered_in_order);
    CPPUNIT_TEST(accept_waits_while_descriptors_are_used_up);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds read_timeout = 200ms;

    test::loop_client m_loop;
    boost::asio::io_context& m_context = m_loop.m_context;
    std::unique_ptr<net::http_server> m_server;
    std::vector<std::shared_ptr<net::http_exchange>> m_taken; // each request that was handed on
    int m_callers_gone = 0;

    net::tcp::endpoint endpoint() const
    {
        return net::make_endpoint("127.0.0.1", m_server->port());
    }

    /// Handles everything that is due; a loop that always has something due ends after a limit.
    std::size_t run_what_is_due()
    {
        constexpr std::size_t handler_limit = 1'000;
        std::this_thread::sleep_for(5 * net::runtime_wait_traits::paused_poll);
        m_context.restart();
        std::size_t handled = 0;
        while (handled < handler_limit && m_context.run_one_for(5ms) > 0)
        {
            ++handled;
        }
        return handled;
    }

    static std::string request_text(const std::string& body)
    {
        return fmt::format("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}",
                           body.size(), body);
    }

    static void answer(net::http_exchange& exchange, const std::string& body)
    {
        exchange.respond(net::make_json_response(200, body));
    }

    void connect(net::tcp::socket& socket) { socket.connect(endpoint()); }

    void send(net::tcp::socket& socket, const std::string& bytes, std::size_t taken)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
        m_loop.run_until([this, taken] { return m_taken.size() >= taken; });
    }

    /// What has arrived on a connection once everything that is due is handled; notes its end.
    std::string receive(net::tcp::socket& socket)
    {
        run_what_is_due();
        std::string received(65'536, '\0');
        boost::system::error_code error;
        socket.non_blocking(true, error);
        received.resize(socket.read_some(boost::asio::buffer(received), error));
        return error && error != boost::asio::error::would_block ? error.message() : received;
    }

    /// A connection whose second request is handed on and not answered, the first one answered.
    void begin_second_request(net::tcp::socket& socket)
    {
        connect(socket);
        send(socket, request_text("one"), 1);
        answer(*m_taken[0], "first");
        CPPUNIT_ASSERT(receive(socket).ends_with("first"));
        send(socket, request_text("two"), 2);
    }

public:
    void setUp() override
    {
        core::runtime_clock::pause();
        net::http_server_settings settings;
        settings.m_read_timeout = read_timeout;
        m_server = std::make_unique<net::http_server>(
            m_context, net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), settings,
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
                exchange->on_client_gone([this](net::close_cause) { ++m_callers_gone; });
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

    void call_that_is_cancelled_before_it_starts_sends_nothing()
    {
        const auto recorder = std::make_shared<test::stream_recorder>();
        const auto call = m_loop.m_client.start(
            endpoint(), net::make_request(http::verb::post, "/", "x"), {}, recorder);
        call->cancel();
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_loop.m_client.opened_count());
        CPPUNIT_ASSERT(m_taken.empty());
        CPPUNIT_ASSERT(!recorder->m_ended && !recorder->m_failed);
    }

    void late_answer_to_an_earlier_request_does_not_answer_the_next()
    {
        net::tcp::socket socket(m_context);
        begin_second_request(socket);
        answer(*m_taken[0], "late");
        m_taken[0]->begin_stream(net::make_json_response(200, ""));
        m_taken[0]->write("late");
        m_taken[0]->end_stream();
        CPPUNIT_ASSERT_EQUAL(std::string(), receive(socket));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), m_taken[1]->request().body());
        answer(*m_taken[1], "second");
        CPPUNIT_ASSERT(receive(socket).ends_with("second"));
    }

    void late_abort_of_an_earlier_request_leaves_the_next_alone()
    {
        net::tcp::socket socket(m_context);
        begin_second_request(socket);
        m_taken[0]->abort();
        CPPUNIT_ASSERT_EQUAL(std::string(), receive(socket));
        answer(*m_taken[1], "second");
        CPPUNIT_ASSERT(receive(socket).ends_with("second"));
    }

    void late_call_of_an_earlier_request_does_not_hide_that_the_caller_left()
    {
        net::tcp::socket socket(m_context);
        begin_second_request(socket);
        m_taken[0]->on_client_gone(nullptr);
        socket.close();
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(1, m_callers_gone);
    }

    /// The timeout passes between two pieces that have both arrived, when no read is waiting.
    void request_whose_bytes_arrive_as_its_timeout_passes_is_refused()
    {
        net::tcp::socket socket(m_context);
        connect(socket);
        const std::string text = request_text(std::string(1'000'000, 'x'));
        boost::asio::write(socket, boost::asio::buffer(text.substr(0, 100)));
        run_what_is_due();
        boost::asio::write(socket, boost::asio::buffer(text.substr(100, 200'000)));
        std::string received;
        for (int i = 0; i < 5 && received.empty(); ++i)
        {
            core::runtime_clock::advance(read_timeout + 1ms);
            received = receive(socket);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 403"), received.substr(0, 12));
    }

    void caller_that_leaves_behind_a_second_request_is_noticed()
    {
        net::tcp::socket socket(m_context);
        connect(socket);
        send(socket, request_text("one") + request_text("two"), 1);
        boost::asio::write(socket, boost::asio::buffer(request_text("three")));
        run_what_is_due();
        socket.close();
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(1, m_callers_gone);
    }

    void requests_sent_together_are_answered_in_order()
    {
        net::tcp::socket socket(m_context);
        connect(socket);
        send(socket, request_text("one") + request_text("two"), 1);
        boost::asio::write(socket, boost::asio::buffer(request_text("three")));
        run_what_is_due();
        for (std::size_t i = 0; i < 3; ++i)
        {
            m_loop.run_until([this, i] { return m_taken.size() == i + 1; });
            answer(*m_taken[i], m_taken[i]->request().body());
            CPPUNIT_ASSERT(receive(socket).ends_with(i == 0 ? "one" : (i == 1 ? "two" : "three")));
        }
    }

    void accept_waits_while_descriptors_are_used_up()
    {
        net::tcp::socket socket(m_context);
        socket.open(net::tcp::v4());
        std::vector<int> used;
        for (int copy = dup(STDIN_FILENO); copy >= 0; copy = dup(STDIN_FILENO))
        {
            used.push_back(copy);
        }
        connect(socket);
        const std::size_t handled = run_what_is_due();
        for (const int copy : used)
        {
            close(copy);
        }
        CPPUNIT_ASSERT_MESSAGE("accepts are repeated without a delay", handled < 10);
        core::runtime_clock::advance(1s);
        send(socket, request_text("one"), 1);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_handler_test, "net");
