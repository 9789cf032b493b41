#include "tarragontrail/net/http_server.hpp"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;

namespace {

using net::tcp;

/// Server whose answers end with their connection, on a loop of its own that can be destroyed.
struct until_close_server
{
    until_close_server()
        : m_server(
              m_context, {boost::asio::ip::address_v4::loopback(), 0}, {},
              [this](std::shared_ptr<net::http_exchange> exchange) {
                  net::http_response head;
                  head.result(200);
                  if (exchange->request().version() < 11)
                  {
                      exchange->begin_stream(std::move(head));
                  }
                  else
                  {
                      exchange->begin_until_close(std::move(head));
                  }
                  exchange->write("part");
                  m_exchange = std::move(exchange);
              },
              [](net::request_fault) { return net::http_response(); })
    {}

    /// Lets the loop handle what is due.
    void run() { m_context.run_for(std::chrono::milliseconds(50)); }

    boost::asio::io_context m_context;
    std::shared_ptr<net::http_exchange> m_exchange; ///< Of the last request.
    net::http_server m_server;
};

} // namespace

/// Responses whose end is the ordinary close of their connection.
class until_close_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(until_close_test);
    CPPUNIT_TEST(response_until_close_ends_with_an_ordinary_close);
    CPPUNIT_TEST(aborted_response_until_close_is_reset);
    CPPUNIT_TEST(response_until_close_of_a_server_that_ends_is_reset);
    CPPUNIT_TEST(stream_to_an_old_client_has_no_chunks);
    CPPUNIT_TEST(aborted_stream_to_an_old_client_is_reset);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;
    tcp::socket m_client{m_context};
    std::unique_ptr<until_close_server> m_server;
    std::string m_seen;

    void ask(const char* version = "1.1")
    {
        m_server = std::make_unique<until_close_server>();
        m_client.connect({boost::asio::ip::address_v4::loopback(), m_server->m_server.port()});
        boost::asio::write(m_client, boost::asio::buffer(fmt::format(
                                         "GET / HTTP/{}\r\nHost: one.example\r\n\r\n", version)));
        m_server->run();
        CPPUNIT_ASSERT(m_server->m_exchange);
    }

    /// Reads until the connection ends; what ended it.
    boost::system::error_code read_to_end()
    {
        boost::system::error_code error;
        boost::asio::read(m_client, boost::asio::dynamic_buffer(m_seen), error);
        return error;
    }

public:
    void response_until_close_ends_with_an_ordinary_close()
    {
        ask();
        m_server->m_exchange->write("s");
        m_server->m_exchange->end_stream();
        m_server->m_context.restart();
        m_server->run();
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code(boost::asio::error::eof), read_to_end());
        CPPUNIT_ASSERT(m_seen.ends_with("\r\n\r\nparts"));
        CPPUNIT_ASSERT(m_seen.find("Connection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT(m_seen.find("chunked") == std::string::npos);
        CPPUNIT_ASSERT(m_seen.find("Content-Length") == std::string::npos);
    }

    void stream_to_an_old_client_has_no_chunks()
    {
        ask("1.0");
        m_server->m_exchange->write("s");
        m_server->m_exchange->end_stream();
        m_server->m_context.restart();
        m_server->run();
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code(boost::asio::error::eof), read_to_end());
        CPPUNIT_ASSERT(m_seen.ends_with("\r\n\r\nparts"));
        CPPUNIT_ASSERT(m_seen.find("chunked") == std::string::npos);
    }

    void aborted_stream_to_an_old_client_is_reset()
    {
        ask("1.0");
        m_server->m_exchange->abort();
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code(boost::asio::error::connection_reset),
                             read_to_end());
    }

    void aborted_response_until_close_is_reset()
    {
        ask();
        m_server->m_exchange->abort();
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code(boost::asio::error::connection_reset),
                             read_to_end());
    }

    void response_until_close_of_a_server_that_ends_is_reset()
    {
        ask();
        m_server.reset();
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code(boost::asio::error::connection_reset),
                             read_to_end());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(until_close_test, "net");
