#include "unit_tests/platform/relay_fixture.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;

namespace {

/// Text again and again, 64 KB and more.
std::string many(const std::string& text)
{
    constexpr std::size_t least_bytes = std::size_t{64} * 1024;
    std::string repeated;
    while (repeated.size() < least_bytes)
    {
        repeated += text;
    }
    return repeated;
}

/// Bytes again and again until the connection is closed.
reply endless(const std::string& begin, const std::string& piece)
{
    reply wanted{begin};
    wanted.m_endless = piece;
    return wanted;
}

std::string head_with(const std::string& fields)
{
    return "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n" + fields + "\r\n";
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string event_stream = "Content-Type: text/event-stream\r\n";
const std::string chunked_rejection =
    "HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Chunk of 64 KB.
std::string letter_chunk()
{
    return "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
}

std::string plain_events(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id)
    {
        text += fmt::format("id: {}\ndata: t{}\n\n", id, id);
    }
    return text;
}

} // namespace

/// Upstreams whose bytes have no end, or whose answers end with their connection.
class endless_bytes_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(endless_bytes_test);
    CPPUNIT_TEST(status_line_without_end_is_malformed);
    CPPUNIT_TEST(header_lines_without_end_are_malformed);
    CPPUNIT_TEST(header_lines_that_arrive_one_by_one_without_end_are_malformed);
    CPPUNIT_TEST(interim_answers_without_end_are_malformed);
    CPPUNIT_TEST(interim_answer_is_not_passed_on_as_the_answer);
    CPPUNIT_TEST(chunk_extension_without_end_is_malformed);
    CPPUNIT_TEST(trailer_without_end_is_malformed);
    CPPUNIT_TEST(malformed_answer_of_a_safe_request_is_asked_for_elsewhere);
    CPPUNIT_TEST(rejection_whose_body_has_no_end_goes_elsewhere);
    CPPUNIT_TEST(rejection_whose_body_stalls_goes_elsewhere);
    CPPUNIT_TEST(rejection_whose_body_is_reset_goes_elsewhere);
    CPPUNIT_TEST(rejection_without_end_everywhere_stays_not_executed);
    CPPUNIT_TEST(rejection_with_a_short_body_ends_its_connection);
    CPPUNIT_TEST(answer_without_end_does_not_look_complete);
    CPPUNIT_TEST(unframed_answer_without_end_does_not_look_complete);
    CPPUNIT_TEST(event_without_end_is_broken_off);
    CPPUNIT_TEST(resumable_stream_with_an_event_without_end_goes_on_elsewhere);
    CPPUNIT_TEST(other_requests_go_on_beside_bytes_without_end);
    CPPUNIT_TEST(junk_behind_an_answer_is_not_the_next_answer);
    CPPUNIT_TEST(junk_without_end_behind_an_answer_closes_its_connection);
    CPPUNIT_TEST(unframed_answer_is_whole_when_its_connection_ends);
    CPPUNIT_TEST(unframed_answer_of_an_old_version_is_whole_when_its_connection_ends);
    CPPUNIT_TEST(unframed_answer_that_is_reset_is_not_whole);
    CPPUNIT_TEST(unframed_answer_that_is_reset_is_asked_for_elsewhere);
    CPPUNIT_TEST(long_unframed_answer_that_is_reset_does_not_look_complete);
    CPPUNIT_TEST(unframed_stream_that_ends_after_an_event_is_whole);
    CPPUNIT_TEST(unframed_stream_that_ends_inside_an_event_does_not_look_complete);
    CPPUNIT_TEST(framed_stream_that_ends_inside_an_event_does_not_look_complete);
    CPPUNIT_TEST(unframed_stream_that_is_reset_does_not_look_complete);
    CPPUNIT_TEST(unframed_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere);
    CPPUNIT_TEST_SUITE_END();

    /// Status that a caller of an unsafe request sees when the first upstream answers so; the
    /// upstream sees its connection closed before the bound of its bytes.
    unsigned status_of_unsafe(const reply& wanted)
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([wanted](const std::string&) { return wanted; });
        const auto result = send(request());
        wait_until_closed();
        return result.m_ok ? result.m_response.result_int() : 0;
    }

    void wait_until_closed()
    {
        const scripted_upstream& first = *m_upstreams.front();
        m_loop.run_until([&first] { return first.m_closed_by_client > 0 || first.m_overrun; });
        CPPUNIT_ASSERT(!first.m_overrun);
    }

    void check_goes_elsewhere(const reply& wanted, relay::request_kind kind)
    {
        configure(kind);
        add_upstream([wanted](const std::string&) { return wanted; });
        add_upstream([](const std::string&) { return reply{whole("text")}; });
        const auto result = send(request());
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), result.m_response.body());
    }

public:
    void status_line_without_end_is_malformed()
    {
        CPPUNIT_ASSERT_EQUAL(502U, status_of_unsafe(endless("HTTP/1.1 200 ", many("x"))));
    }

    void header_lines_without_end_are_malformed()
    {
        const std::string line = "X-Junk: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n";
        CPPUNIT_ASSERT_EQUAL(502U, status_of_unsafe(endless("HTTP/1.1 200 X\r\n", many(line))));
    }

    void header_lines_that_arrive_one_by_one_without_end_are_malformed()
    {
        CPPUNIT_ASSERT_EQUAL(
            502U, status_of_unsafe(
                      endless("HTTP/1.1 200 X\r\n", "X-Junk: " + std::string(128, 'y') + "\r\n")));
    }

    void interim_answers_without_end_are_malformed()
    {
        const std::string interim = "HTTP/1.1 102 X\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(502U, status_of_unsafe(endless("", many(interim))));
    }

    void interim_answer_is_not_passed_on_as_the_answer()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) {
            return reply{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\n" + whole("text")};
        });
        for (int i = 0; i < 2; ++i)
        {
            const auto result = send(request());
            CPPUNIT_ASSERT(result.m_ok);
            CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("text"), result.m_response.body());
        }
        CPPUNIT_ASSERT_EQUAL(1, m_upstreams.front()->m_connections);
    }

    void chunk_extension_without_end_is_malformed()
    {
        CPPUNIT_ASSERT_EQUAL(
            502U, status_of_unsafe(endless(head_with(chunked) + "4;", many("extension"))));
    }

    void trailer_without_end_is_malformed()
    {
        CPPUNIT_ASSERT_EQUAL(502U, status_of_unsafe(endless(head_with(chunked) + "0\r\n",
                                                            many("X-Junk: yyyyyyyy\r\n"))));
    }

    void malformed_answer_of_a_safe_request_is_asked_for_elsewhere()
    {
        check_goes_elsewhere(endless(head_with(chunked) + "4;", many("extension")),
                             relay::request_kind::idempotent);
        wait_until_closed();
    }

    void rejection_whose_body_has_no_end_goes_elsewhere()
    {
        check_goes_elsewhere(endless(chunked_rejection, letter_chunk()),
                             relay::request_kind::non_idempotent);
        wait_until_closed();
    }

    void rejection_whose_body_stalls_goes_elsewhere()
    {
        check_goes_elsewhere(reply{chunked_rejection + "5\r\nab"},
                             relay::request_kind::non_idempotent);
        wait_until_closed();
    }

    void rejection_whose_body_is_reset_goes_elsewhere()
    {
        reply wanted{chunked_rejection + "5\r\nab"};
        wanted.m_reset = true;
        check_goes_elsewhere(wanted, relay::request_kind::non_idempotent);
    }

    void rejection_without_end_everywhere_stays_not_executed()
    {
        CPPUNIT_ASSERT_EQUAL(503U, status_of_unsafe(endless(chunked_rejection, letter_chunk())));
    }

    void rejection_with_a_short_body_ends_its_connection()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([this](const std::string&) {
            return m_upstreams.front()->m_requests.size() > 1
                       ? reply{whole("text")}
                       : reply{chunked_rejection + "5\r\nabcde\r\n" + end_of_chunks};
        });
        CPPUNIT_ASSERT_EQUAL(503U, send(request()).m_response.result_int());
        wait_until_closed();
        CPPUNIT_ASSERT_EQUAL(200U, send(request()).m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(2, m_upstreams.front()->m_connections);
    }

    void answer_without_end_does_not_look_complete()
    {
        configure(relay::request_kind::non_idempotent);
        m_state->m_session_settings.m_response_limit_bytes = std::uint64_t{1} * 1024 * 1024;
        add_upstream(
            [](const std::string&) { return endless(head_with(chunked), letter_chunk()); });
        CPPUNIT_ASSERT(!send(request()).m_ok);
        wait_until_closed();
    }

    void unframed_answer_without_end_does_not_look_complete()
    {
        configure(relay::request_kind::non_idempotent);
        m_state->m_session_settings.m_response_limit_bytes = std::uint64_t{1} * 1024 * 1024;
        add_upstream([](const std::string&) { return endless(head_with(""), many("junk")); });
        CPPUNIT_ASSERT(!send(request()).m_ok);
        wait_until_closed();
    }

    void event_without_end_is_broken_off()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) {
            return endless(events(1, 2, "id: 3\ndata: "), letter_chunk());
        });
        const auto result = send(request());
        CPPUNIT_ASSERT(!result.m_ok);
        wait_until_closed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_relay->in_flight());
    }

    void resumable_stream_with_an_event_without_end_goes_on_elsewhere()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) {
            return endless(events(1, 2, "id: 3\ndata: "), letter_chunk());
        });
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        const auto result = send(request());
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT_EQUAL(plain_events(1, 4), result.m_response.body());
        wait_until_closed();
    }

    void other_requests_go_on_beside_bytes_without_end()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string& head) {
            return head.find("/a/bad") == std::string::npos
                       ? reply{whole("text")}
                       : endless(head_with(chunked) + "4;", many("extension"));
        });
        std::optional<net::http_client::fetch_result> bad;
        m_loop.m_client.fetch(net::make_endpoint("127.0.0.1", m_port), request("/a/bad"), {},
                              [&bad](const net::http_client::fetch_result& value) { bad = value; });
        for (int i = 0; i < 5; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200U, send(request()).m_response.result_int());
        }
        m_loop.run_until([&bad] { return bad.has_value(); });
        CPPUNIT_ASSERT_EQUAL(502U, bad->m_response.result_int());
        wait_until_closed();
    }

    void junk_behind_an_answer_is_not_the_next_answer()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string& head) {
            return head.find("/a/one") == std::string::npos ? reply{whole("two")}
                                                            : reply{whole("one") + whole("junk")};
        });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), send(request("/a/one")).m_response.body());
        CPPUNIT_ASSERT_EQUAL(std::string("two"), send(request("/a/two")).m_response.body());
        CPPUNIT_ASSERT_EQUAL(2, m_upstreams.front()->m_connections);
    }

    void junk_without_end_behind_an_answer_closes_its_connection()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) { return endless(whole("one"), many("junk")); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), send(request()).m_response.body());
        wait_until_closed();
    }

    void unframed_answer_is_whole_when_its_connection_ends()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) { return reply{head_with("") + "text", true}; });
        const auto result = send(request());
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), result.m_response.body());
    }

    void unframed_answer_of_an_old_version_is_whole_when_its_connection_ends()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) {
            std::string head = head_with("");
            head.replace(head.find("1.1"), 3, "1.0");
            return reply{head + "text", true};
        });
        const auto result = send(request());
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), result.m_response.body());
    }

    void unframed_answer_that_is_reset_is_not_whole()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) {
            reply wanted{head_with("") + "text"};
            wanted.m_reset = true;
            return wanted;
        });
        CPPUNIT_ASSERT_EQUAL(502U, send(request()).m_response.result_int());
    }

    void unframed_answer_that_is_reset_is_asked_for_elsewhere()
    {
        reply wanted{head_with("") + "te"};
        wanted.m_reset = true;
        check_goes_elsewhere(wanted, relay::request_kind::idempotent);
    }

    /// Longer than what is gathered before it is passed on.
    void long_unframed_answer_that_is_reset_does_not_look_complete()
    {
        configure(relay::request_kind::non_idempotent);
        m_state->m_session_settings.m_buffer_limit_bytes = 1'000;
        add_upstream([](const std::string&) {
            reply wanted{head_with("") + std::string(20'000, 'x')};
            wanted.m_reset = true;
            return wanted;
        });
        const auto result = send(request());
        CPPUNIT_ASSERT(!result.m_ok || result.m_response.result_int() == 502);
    }

    void unframed_stream_that_ends_after_an_event_is_whole()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) {
            return reply{head_with(event_stream) + plain_events(1, 3), true};
        });
        const auto result = send(request());
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT_EQUAL(plain_events(1, 3), result.m_response.body());
    }

    void unframed_stream_that_ends_inside_an_event_does_not_look_complete()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) {
            return reply{head_with(event_stream) + plain_events(1, 2) + "id: 3\nda", true};
        });
        CPPUNIT_ASSERT(!send(request()).m_ok);
    }

    void framed_stream_that_ends_inside_an_event_does_not_look_complete()
    {
        configure(relay::request_kind::stream);
        add_upstream(
            [](const std::string&) { return reply{events(1, 2, "id: 3\nda") + end_of_chunks}; });
        CPPUNIT_ASSERT(!send(request()).m_ok);
    }

    void unframed_stream_that_is_reset_does_not_look_complete()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) {
            reply wanted{head_with(event_stream) + plain_events(1, 2)};
            wanted.m_reset = true;
            return wanted;
        });
        const auto result = send(request());
        CPPUNIT_ASSERT(!result.m_ok || result.m_response.result_int() == 502);
    }

    void unframed_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) {
            return reply{head_with(event_stream) + plain_events(1, 2) + "id: 3\nda", true};
        });
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        const auto result = send(request());
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT_EQUAL(plain_events(1, 4), result.m_response.body());
        const std::string& head = m_upstreams.back()->m_requests.front();
        CPPUNIT_ASSERT(head.find("Last-Event-Id: 2\r\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_bytes_test, "platform");
