#include "unit_tests/stand_ins/loop_client.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace tarragontrail;
using namespace std::chrono_literals;

/// Chunked responses whose end arrives byte by byte.
class last_chunk_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(last_chunk_test);
    CPPUNIT_TEST(response_without_a_body_is_whole);
    CPPUNIT_TEST(response_with_a_body_is_whole);
    CPPUNIT_TEST(response_that_ends_inside_its_last_chunk_is_broken_off);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;
    net::tcp::acceptor m_acceptor{m_loop.m_context, {boost::asio::ip::address_v4::loopback(), 0}};
    net::tcp::socket m_server{m_loop.m_context};
    boost::asio::steady_timer m_pace{m_loop.m_context};
    boost::asio::streambuf m_input;
    std::vector<std::string> m_pieces;
    std::size_t m_sent = 0;

    /// Sends the next piece, and closes the connection behind the last one.
    void send_next()
    {
        boost::system::error_code ignored;
        if (m_sent == m_pieces.size())
        {
            m_server.close(ignored);
            return;
        }
        boost::asio::write(m_server, boost::asio::buffer(m_pieces.at(m_sent++)), ignored);
        m_pace.expires_after(20ms);
        m_pace.async_wait([this](boost::system::error_code) { send_next(); });
    }

    net::http_client::fetch_result fetch(const std::vector<std::string>& pieces)
    {
        m_pieces = pieces;
        m_acceptor.async_accept(m_server, [this](boost::system::error_code) {
            m_server.set_option(net::tcp::no_delay(true));
            boost::asio::async_read_until(
                m_server, m_input, "\r\n\r\n",
                [this](boost::system::error_code, std::size_t) { send_next(); });
        });
        return m_loop.fetch(m_acceptor.local_endpoint().port(), test::loop_client::verb::get, "/");
    }

    static constexpr const char* head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

public:
    void response_without_a_body_is_whole()
    {
        const auto result = fetch({head, "0", "\r", "\n", "\r", "\n"});
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT(result.m_response.body().empty());
    }

    void response_with_a_body_is_whole()
    {
        const auto result = fetch({head, "3\r\n", "ab", "c", "\r", "\n", "0", "\r\n", "\r", "\n"});
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), result.m_response.body());
    }

    void response_that_ends_inside_its_last_chunk_is_broken_off()
    {
        const auto result = fetch({head, "0\r\n", "\r"});
        CPPUNIT_ASSERT(!result.m_ok);
        CPPUNIT_ASSERT(result.m_failure.m_fault == net::call_fault::closed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(last_chunk_test, "net");
