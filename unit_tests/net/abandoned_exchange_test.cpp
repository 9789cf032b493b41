#include "tarragontrail/net/http_server.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <stdexcept>

using namespace tarragontrail;

/// Requests whose handler gives them up without an answer.
class abandoned_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(abandoned_exchange_test);
    CPPUNIT_TEST(request_that_its_handler_drops_is_answered);
    CPPUNIT_TEST(request_whose_handler_throws_is_answered);
    CPPUNIT_TEST(stream_that_its_handler_drops_does_not_look_complete);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* last_chunk = "0\r\n\r\n";

    test::loop_client m_loop;
    boost::asio::io_context& m_context = m_loop.m_context;
    std::unique_ptr<net::http_server> m_server;
    int m_handler_failures = 0;

    void serve(const std::shared_ptr<net::http_exchange>& exchange)
    {
        const std::string& wanted = exchange->request().body();
        if (wanted == "drop")
        {
            return;
        }
        if (wanted == "throw")
        {
            throw std::length_error("handler");
        }
        if (wanted == "stream")
        {
            exchange->begin_stream(net::make_json_response(200, ""));
            exchange->write("piece");
            return;
        }
        exchange->respond(net::make_json_response(200, wanted));
    }

    /// Sends requests on one connection; returns what arrives until it ends or holds `last`.
    std::string exchange_bytes(const std::vector<std::string>& bodies, const std::string& last)
    {
        net::tcp::socket socket(m_context);
        socket.connect(net::make_endpoint("127.0.0.1", m_server->port()));
        for (const std::string& body : bodies)
        {
            boost::asio::write(socket,
                               boost::asio::buffer(fmt::format(
                                   "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}",
                                   body.size(), body)));
        }
        socket.non_blocking(true);
        std::string received;
        bool ended = false;
        const auto is_over = [&] {
            std::array<char, 4096> piece{};
            boost::system::error_code error;
            const std::size_t size = socket.read_some(boost::asio::buffer(piece), error);
            received.append(piece.data(), size);
            ended = error && error != boost::asio::error::would_block;
            return ended || received.find(last) != std::string::npos;
        };
        // As the loop of a process does, it goes on behind a failure.
        while (m_handler_failures < 2)
        {
            try
            {
                m_loop.run_until(is_over);
                return received;
            }
            catch (const std::length_error&)
            {
                ++m_handler_failures;
            }
        }
        return received;
    }

public:
    void setUp() override
    {
        m_server = std::make_unique<net::http_server>(
            m_context, net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0),
            net::http_server_settings{},
            [this](const std::shared_ptr<net::http_exchange>& exchange) { serve(exchange); },
            [](net::request_fault) { return net::make_json_response(500, "fault"); });
    }

    void tearDown() override { m_server.reset(); }

    void request_that_its_handler_drops_is_answered()
    {
        const std::string received = exchange_bytes({"drop", "next"}, "next");
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT_MESSAGE("the next request of the connection is answered too",
                               received.ends_with("next"));
    }

    void request_whose_handler_throws_is_answered()
    {
        const std::string received = exchange_bytes({"throw"}, "fault");
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT_EQUAL(1, m_handler_failures);
    }

    void stream_that_its_handler_drops_does_not_look_complete()
    {
        const std::string received = exchange_bytes({"stream"}, last_chunk);
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(received.find(last_chunk) == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->busy_count());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(abandoned_exchange_test, "net");
