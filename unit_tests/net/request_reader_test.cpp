#include "tarragontrail/net/request_reader.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace tarragontrail;
using progress = net::request_reader::progress;

namespace {

constexpr std::uint32_t header_limit_bytes = 1'000;
constexpr std::uint64_t body_limit_bytes = 5'000;

/// Most that a reader keeps: a head, a body, each in a buffer that has doubled, and one piece.
constexpr std::size_t most_held_bytes = 40'000;

const std::string chunked_head =
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads bytes in pieces until the request has ended in some way or the bytes are used up.
class piecewise_reader
{
public:
    piecewise_reader() { m_reader.begin({header_limit_bytes, body_limit_bytes}); }

    progress read(std::string_view bytes, std::size_t piece_bytes)
    {
        while (!bytes.empty())
        {
            m_reader.add(bytes.substr(0, piece_bytes));
            bytes.remove_prefix(std::min(bytes.size(), piece_bytes));
            progress reached = m_reader.read_on();
            if (reached == progress::head)
            {
                ++m_heads;
                reached = m_reader.read_on();
            }
            m_most_held_bytes = std::max(m_most_held_bytes, m_reader.held_bytes());
            if (reached != progress::incomplete)
            {
                return reached;
            }
        }
        return progress::incomplete;
    }

    net::request_reader m_reader;
    std::size_t m_heads = 0;
    std::size_t m_most_held_bytes = 0;
};

std::string chunks_of(const std::string& body, std::size_t chunk_bytes)
{
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes)
    {
        const std::string chunk = body.substr(at, chunk_bytes);
        text += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    return text + "0\r\n";
}

} // namespace

/// Requests that arrive in pieces, and the bounds on what is kept of them.
class request_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_reader_test);
    CPPUNIT_TEST(request_is_the_same_in_pieces_of_any_size);
    CPPUNIT_TEST(chunked_request_with_a_trailer_is_whole);
    CPPUNIT_TEST(bytes_behind_a_request_are_the_next_one);
    CPPUNIT_TEST(head_without_end_is_too_large);
    CPPUNIT_TEST(trailer_without_end_is_too_large);
    CPPUNIT_TEST(trailer_line_without_end_is_too_large);
    CPPUNIT_TEST(chunk_extension_without_end_is_too_large);
    CPPUNIT_TEST(chunks_beyond_the_body_limit_are_too_large);
    CPPUNIT_TEST(cleared_reader_holds_nothing);
    CPPUNIT_TEST(small_fields_count_with_the_memory_that_they_take);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_is_the_same_in_pieces_of_any_size()
    {
        const bool holds = rc::check("pieces", [] {
            const auto body = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
            const auto piece = *rc::gen::inRange<std::size_t>(1, 200);
            const auto chunk = *rc::gen::inRange<std::size_t>(0, 50);
            const std::string text =
                chunk == 0
                    ? fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}",
                                  body.size(), body)
                    : chunked_head + chunks_of(body, chunk) + "\r\n";
            piecewise_reader reader;
            RC_ASSERT(reader.read(text, piece) == progress::whole);
            RC_ASSERT(reader.m_heads == 1U);
            RC_ASSERT(reader.m_reader.unread_bytes() == 0U);
            const net::http_request request = reader.m_reader.take();
            RC_ASSERT(request.body() == body);
            RC_ASSERT(net::target_of(request) == "/a");
        });
        CPPUNIT_ASSERT(holds);
    }

    void chunked_request_with_a_trailer_is_whole()
    {
        piecewise_reader reader;
        const std::string trailer = "X-Sum: " + std::string(header_limit_bytes - 50, 'x') + "\r\n";
        CPPUNIT_ASSERT(reader.read(chunked_head + chunks_of("body", 2) + trailer + "\r\n", 7) ==
                       progress::whole);
    }

    void bytes_behind_a_request_are_the_next_one()
    {
        net::request_reader reader;
        reader.begin({header_limit_bytes, body_limit_bytes});
        reader.add("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(reader.read_on() == progress::head);
        CPPUNIT_ASSERT(reader.read_on() == progress::whole);
        CPPUNIT_ASSERT_EQUAL(std::string("/a"), std::string(net::target_of(reader.take())));
        reader.release_spare_memory();
        reader.begin({header_limit_bytes, body_limit_bytes});
        CPPUNIT_ASSERT(reader.read_on() == progress::head);
        CPPUNIT_ASSERT(reader.read_on() == progress::whole);
        CPPUNIT_ASSERT_EQUAL(std::string("/b"), std::string(net::target_of(reader.take())));
    }

    void head_without_end_is_too_large()
    {
        expect_too_large("GET /a HTTP/1.1\r\nHost: h\r\nX-More: ", "x", progress::head_too_large);
    }

    void trailer_without_end_is_too_large()
    {
        expect_too_large(chunked_head + "0\r\n", "X-More: y\r\n", progress::head_too_large);
    }

    void trailer_line_without_end_is_too_large()
    {
        expect_too_large(chunked_head + "0\r\nX-More: ", "y", progress::head_too_large);
    }

    void chunk_extension_without_end_is_too_large()
    {
        expect_too_large(chunked_head + "1;x=", "y", progress::head_too_large);
    }

    void chunks_beyond_the_body_limit_are_too_large()
    {
        expect_too_large(chunked_head, "1\r\nx\r\n", progress::body_too_large);
        expect_too_large(chunked_head, "80\r\n" + std::string(0x80, 'x') + "\r\n",
                         progress::body_too_large);
    }

    void cleared_reader_holds_nothing()
    {
        piecewise_reader reader;
        CPPUNIT_ASSERT(reader.read(chunked_head + "1000\r\nxxxx", 9) == progress::incomplete);
        CPPUNIT_ASSERT(reader.m_reader.held_bytes() > 0);
        reader.m_reader.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reader.m_reader.held_bytes());
    }

    void small_fields_count_with_the_memory_that_they_take()
    {
        std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n";
        constexpr std::size_t fields = 200;
        for (std::size_t i = 0; i < fields; ++i)
        {
            head += "a:\r\n";
        }
        piecewise_reader reader;
        CPPUNIT_ASSERT(reader.read(head + "\r\n", head.size() + 2) == progress::incomplete);
        constexpr std::size_t least_field_bytes = 64;
        CPPUNIT_ASSERT(reader.m_reader.held_bytes() > fields * least_field_bytes);
    }

private:
    static void expect_too_large(const std::string& begin, const std::string& again, progress end)
    {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{333}, std::size_t{16'000}})
        {
            std::string text = begin;
            while (text.size() < 100'000)
            {
                text += again;
            }
            piecewise_reader reader;
            CPPUNIT_ASSERT(reader.read(text, piece) == end);
            CPPUNIT_ASSERT(reader.m_most_held_bytes < most_held_bytes);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_reader_test, "net");
