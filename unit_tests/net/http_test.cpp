#include "tarragontrail/net/http_client.hpp"
#include "tarragontrail/net/http_server.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace tarragontrail;
namespace http = boost::beast::http;

/// Server and client against each other on one loop.
class http_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_test);
    CPPUNIT_TEST(streams_arrive_whole_and_in_order);
    CPPUNIT_TEST(oversized_and_malformed_requests_are_refused);
    CPPUNIT_TEST(slow_request_is_refused_while_others_are_served);
    CPPUNIT_TEST(refused_connection_is_reported_before_sending);
    CPPUNIT_TEST(client_that_leaves_is_noticed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int piece_count = 500;

    boost::asio::io_context m_context;
    net::http_server_settings m_settings;
    std::unique_ptr<net::http_server> m_server;
    std::shared_ptr<net::http_exchange> m_held; // exchange that is never answered
    bool m_client_gone = false;

    net::tcp::endpoint endpoint() const
    {
        return net::make_endpoint("127.0.0.1", m_server->port());
    }

    void serve(const std::shared_ptr<net::http_exchange>& exchange)
    {
        const auto path = net::path_of(net::target_of(exchange->request()));
        if (path == "/hold")
        {
            m_held = exchange;
            exchange->on_client_gone([this](net::close_cause) { m_client_gone = true; });
            return;
        }
        if (path != "/stream")
        {
            exchange->respond(net::make_json_response(200, exchange->request().body()));
            return;
        }
        exchange->begin_stream(net::make_json_response(200, ""));
        for (int i = 0; i < piece_count; ++i)
        {
            exchange->write(std::to_string(i) + ",");
        }
        exchange->end_stream();
    }

    net::http_client::fetch_result fetch(net::http_client& client, net::http_request request)
    {
        std::optional<net::http_client::fetch_result> result;
        client.fetch(
            endpoint(), std::move(request), {},
            [&result](net::http_client::fetch_result value) { result = std::move(value); });
        run_until([&result] { return result.has_value(); });
        return std::move(*result);
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        m_context.restart();
        while (!condition() && std::chrono::steady_clock::now() < give_up)
        {
            m_context.run_one_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT(condition());
    }

    std::string send_raw(const std::string& bytes)
    {
        net::tcp::socket socket(m_context);
        socket.connect(endpoint());
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string answer(4096, '\0');
        std::size_t size = 0;
        socket.async_read_some(boost::asio::buffer(answer),
                               [&size](boost::system::error_code, std::size_t n) { size = n; });
        run_until([&size] { return size > 0; });
        return answer.substr(0, size);
    }

public:
    void setUp() override
    {
        m_settings.m_body_limit_bytes = 10'000;
        m_settings.m_read_timeout = std::chrono::milliseconds(200);
        m_server = std::make_unique<net::http_server>(
            m_context, net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), m_settings,
            [this](const std::shared_ptr<net::http_exchange>& exchange) { serve(exchange); },
            [](net::request_fault fault) {
                return net::make_json_response(400 + static_cast<unsigned>(fault), "{}");
            });
    }

    void tearDown() override
    {
        m_held.reset();
        m_server.reset();
    }

    void streams_arrive_whole_and_in_order()
    {
        net::http_client client(m_context);
        std::string expected;
        for (int i = 0; i < piece_count; ++i)
        {
            expected += std::to_string(i) + ",";
        }
        for (int round = 0; round < 3; ++round)
        {
            const auto result = fetch(client, net::make_request(http::verb::get, "/stream"));
            CPPUNIT_ASSERT(result.m_ok);
            CPPUNIT_ASSERT_EQUAL(expected, result.m_response.body());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->connection_count());
    }

    void oversized_and_malformed_requests_are_refused()
    {
        net::http_client client(m_context);
        const auto large =
            fetch(client, net::make_request(http::verb::post, "/", std::string(20'000, 'x')));
        CPPUNIT_ASSERT_EQUAL(402U, large.m_response.result_int());
        CPPUNIT_ASSERT(send_raw("no http at all\r\n\r\n").starts_with("HTTP/1.1 400"));
        const std::string head = "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'y') + "\r\n\r\n";
        CPPUNIT_ASSERT(send_raw(head).starts_with("HTTP/1.1 401"));
    }

    void slow_request_is_refused_while_others_are_served()
    {
        net::tcp::socket slow(m_context);
        slow.connect(endpoint());
        boost::asio::write(slow, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nContent-")));
        net::http_client client(m_context);
        CPPUNIT_ASSERT(fetch(client, net::make_request(http::verb::post, "/", "{}")).m_ok);
        std::string answer(64, '\0');
        bool answered = false;
        slow.async_read_some(
            boost::asio::buffer(answer),
            [&answered](boost::system::error_code, std::size_t) { answered = true; });
        run_until([&answered] { return answered; });
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 403"));
    }

    void refused_connection_is_reported_before_sending()
    {
        net::http_client client(m_context);
        const auto closed = endpoint();
        m_server.reset();
        std::optional<net::http_client::fetch_result> result;
        client.fetch(
            closed, net::make_request(http::verb::get, "/"), {},
            [&result](net::http_client::fetch_result value) { result = std::move(value); });
        run_until([&result] { return result.has_value(); });
        CPPUNIT_ASSERT(!result->m_ok);
        CPPUNIT_ASSERT(result->m_failure.m_stage == net::call_stage::connecting);
    }

    void client_that_leaves_is_noticed()
    {
        {
            net::tcp::socket socket(m_context);
            socket.connect(endpoint());
            boost::asio::write(socket,
                               boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\n\r\n")));
            run_until([this] { return m_held != nullptr; });
        }
        run_until([this] { return m_client_gone; });
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_test, "net");
