#include "unit_tests/platform/relay_fixture.hpp"

#include <array>
#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using namespace tarragontrail::test;

namespace {

constexpr std::array plain_kinds{relay::request_kind::idempotent,
                                 relay::request_kind::non_idempotent};

/// When an upstream sends its refusal once more.
enum class repeat_time
{
    at_once,
    later,              ///< The next request has been sent, its answer has not.
    before_next_answer, ///< Directly before the answer to the next request.
};

constexpr std::array repeat_times{repeat_time::at_once, repeat_time::later,
                                  repeat_time::before_next_answer};

/// Whole answer to a request by its id.
std::string answer_to(const std::string& id, const std::string& body, unsigned status = 200)
{
    return fmt::format("HTTP/1.1 {} X\r\nX-Request-Id: {}\r\nX-Response-Seal: s\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       status, id, body.size(), body);
}

std::string refusal_of(const std::string& id)
{
    return fmt::format("HTTP/1.1 503 X\r\nX-Request-Id: {}\r\nX-Not-Executed: 1\r\n"
                       "Content-Length: 2\r\n\r\nno",
                       id);
}

std::string chunked_head_of(const std::string& id)
{
    return fmt::format("HTTP/1.1 200 X\r\nX-Request-Id: {}\r\nX-Response-Seal: s\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       id);
}

const std::string refusal_without_id =
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

/// Answers that come twice, out of turn or to another request.
class stray_answer_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(stray_answer_test);
    CPPUNIT_TEST(refusal_without_id_promises_nothing);
    CPPUNIT_TEST(refusal_without_id_before_the_own_answer_promises_nothing);
    CPPUNIT_TEST(unnamed_busy_answer_is_not_passed_on_as_a_promise);
    CPPUNIT_TEST(refusal_sent_twice_is_not_taken_for_that_of_the_next_send);
    CPPUNIT_TEST(refusal_sent_twice_does_not_cost_the_next_request_its_answer);
    CPPUNIT_TEST(framed_stray_answer_does_not_cost_the_own_answer);
    CPPUNIT_TEST(two_stray_answers_do_not_cost_the_own_answer);
    CPPUNIT_TEST(connection_with_a_stray_answer_is_not_used_again);
    CPPUNIT_TEST(stray_answer_until_close_leaves_the_outcome_unknown);
    CPPUNIT_TEST(stray_answer_without_end_leaves_the_outcome_unknown);
    CPPUNIT_TEST(stray_answer_that_stalls_leaves_the_outcome_unknown);
    CPPUNIT_TEST(stray_answers_without_number_leave_the_outcome_unknown);
    CPPUNIT_TEST(stray_answer_without_end_to_a_safe_request_goes_elsewhere);
    CPPUNIT_TEST(silence_behind_a_stray_answer_promises_nothing);
    CPPUNIT_TEST_SUITE_END();

    static net::http_request request_of(const std::string& id)
    {
        net::http_request message = request();
        message.set("X-Request-Id", id);
        return message;
    }

    scripted_upstream& first() { return *m_upstreams.front(); }
    scripted_upstream& second() { return *m_upstreams.back(); }

    /// Two upstreams; the nearer one answers r1, and r2, on the same connection, in the given way.
    net::http_client::fetch_result ask_behind_another(relay::request_kind kind,
                                                      const reply& second_reply)
    {
        configure(kind);
        add_upstream([this, second_reply](const std::string&) {
            switch (first().m_requests.size())
            {
            case 1:
                return reply{answer_to("r1", "one")};
            case 2:
                return second_reply;
            default:
                return reply{answer_to("r2", "two")};
            }
        });
        add_upstream([](const std::string&) { return reply{answer_to("r2", "elsewhere")}; });
        CPPUNIT_ASSERT_EQUAL(200U, send(request_of("r1")).m_response.result_int());
        auto result = send(request_of("r2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first().m_requests.size());
        CPPUNIT_ASSERT_EQUAL(1, first().m_connections);
        return result;
    }

    void check_own_answer(const std::string& strays)
    {
        for (const relay::request_kind kind : plain_kinds)
        {
            const auto result = ask_behind_another(kind, reply{strays + answer_to("r2", "two")});
            CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("two"), result.m_response.body());
            CPPUNIT_ASSERT(second().m_requests.empty());
            start_again();
        }
    }

    void check_outcome_unknown(const reply& wanted)
    {
        const auto result = ask_behind_another(relay::request_kind::non_idempotent, wanted);
        CPPUNIT_ASSERT_EQUAL(502U, result.m_response.result_int());
        CPPUNIT_ASSERT(second().m_requests.empty());
    }

    void start_again()
    {
        tearDown();
        setUp();
    }

public:
    void refusal_without_id_promises_nothing()
    {
        for (const relay::request_kind kind : plain_kinds)
        {
            configure(kind);
            add_upstream([](const std::string&) { return reply{refusal_without_id}; });
            add_upstream([](const std::string&) { return reply{answer_to("r1", "text")}; });
            const bool is_safe = kind == relay::request_kind::idempotent;
            CPPUNIT_ASSERT_EQUAL(is_safe ? 200U : 502U,
                                 send(request_of("r1")).m_response.result_int());
            CPPUNIT_ASSERT_EQUAL(is_safe ? std::size_t{1} : std::size_t{0},
                                 second().m_requests.size());
            start_again();
        }
    }

    void refusal_without_id_before_the_own_answer_promises_nothing()
    {
        check_outcome_unknown(reply{refusal_without_id + answer_to("r2", "two")});
    }

    void unnamed_busy_answer_is_not_passed_on_as_a_promise()
    {
        check_outcome_unknown(reply{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"});
    }

    /// The caller sends the request again under its id, and the upstream runs it this time.
    void refusal_sent_twice_is_not_taken_for_that_of_the_next_send()
    {
        for (const relay::request_kind kind : plain_kinds)
        {
            for (const repeat_time when : repeat_times)
            {
                configure(kind);
                add_upstream([this, when](const std::string&) {
                    const bool is_first = first().m_requests.size() == 1;
                    const bool is_kept = first().m_connections == 1;
                    reply wanted{is_first ? refusal_of("r1") : answer_to("r1", "text")};
                    if (when == repeat_time::at_once && is_first)
                    {
                        wanted.m_bytes += refusal_of("r1");
                    }
                    if (when == repeat_time::before_next_answer && !is_first && is_kept)
                    {
                        wanted.m_bytes = refusal_of("r1") + answer_to("r1", "text");
                    }
                    if (when == repeat_time::later)
                    {
                        wanted.m_late = is_first ? refusal_of("r1") : wanted.m_bytes;
                        wanted.m_late_after = is_first ? 50ms : 100ms;
                        wanted.m_bytes = is_first ? wanted.m_bytes : std::string();
                    }
                    return wanted;
                });
                CPPUNIT_ASSERT_EQUAL(503U, send(request_of("r1")).m_response.result_int());
                const auto again = send(request_of("r1"));
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first().m_requests.size());
                CPPUNIT_ASSERT_EQUAL(200U, again.m_response.result_int());
                CPPUNIT_ASSERT_EQUAL(std::string("text"), again.m_response.body());
                start_again();
            }
        }
    }

    void refusal_sent_twice_does_not_cost_the_next_request_its_answer()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([this](const std::string&) {
            if (first().m_requests.size() == 1)
            {
                return reply{refusal_of("r1")};
            }
            const bool is_kept = first().m_connections == 1;
            return reply{(is_kept ? refusal_of("r1") : "") + answer_to("r2", "two")};
        });
        CPPUNIT_ASSERT_EQUAL(503U, send(request_of("r1")).m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(200U, send(request_of("r2")).m_response.result_int());
    }

    void framed_stray_answer_does_not_cost_the_own_answer()
    {
        check_own_answer(answer_to("r1", "one"));
        check_own_answer(refusal_of("r1"));
        check_own_answer(chunked_head_of("r1") + "3\r\none\r\n" + end_of_chunks);
    }

    void two_stray_answers_do_not_cost_the_own_answer()
    {
        check_own_answer(answer_to("r1", "one") + refusal_of("r0"));
    }

    void connection_with_a_stray_answer_is_not_used_again()
    {
        ask_behind_another(relay::request_kind::non_idempotent,
                           reply{answer_to("r1", "one") + answer_to("r2", "two")});
        CPPUNIT_ASSERT_EQUAL(200U, send(request_of("r2")).m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(2, first().m_connections);
    }

    void stray_answer_until_close_leaves_the_outcome_unknown()
    {
        check_outcome_unknown(
            reply{"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n\r\none", true});
    }

    void stray_answer_without_end_leaves_the_outcome_unknown()
    {
        reply wanted{chunked_head_of("r1")};
        wanted.m_endless = "400\r\n" + std::string(0x400, 'x') + "\r\n";
        check_outcome_unknown(wanted);
        m_loop.run_until([this] { return first().m_closed_by_client > 0 || first().m_overrun; });
        CPPUNIT_ASSERT(!first().m_overrun);
    }

    void stray_answer_that_stalls_leaves_the_outcome_unknown()
    {
        check_outcome_unknown(reply{chunked_head_of("r1") + "5\r\nab"});
    }

    void stray_answers_without_number_leave_the_outcome_unknown()
    {
        reply wanted{answer_to("r1", "one")};
        wanted.m_endless = answer_to("r1", "one");
        check_outcome_unknown(wanted);
    }

    void stray_answer_without_end_to_a_safe_request_goes_elsewhere()
    {
        reply wanted{chunked_head_of("r1")};
        wanted.m_endless = "400\r\n" + std::string(0x400, 'x') + "\r\n";
        const auto result = ask_behind_another(relay::request_kind::idempotent, wanted);
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("elsewhere"), result.m_response.body());
    }

    void silence_behind_a_stray_answer_promises_nothing()
    {
        const auto result =
            ask_behind_another(relay::request_kind::non_idempotent, reply{answer_to("r1", "one")});
        const unsigned status = result.m_response.result_int();
        CPPUNIT_ASSERT(status == 502 || status == 504);
        CPPUNIT_ASSERT(second().m_requests.empty());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stray_answer_test, "platform");
