#include "unit_tests/platform/raw_caller.hpp"
#include "unit_tests/platform/relay_fixture.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;

namespace {

/// How an upstream's answer marks its end.
enum class framing
{
    length,
    chunks,
    none,
};

/// How an upstream's answer ends.
enum class ending
{
    whole,
    between_events,
    inside_event,
    after_head,
    reset,
    reset_after_head,
};

/// What is asked for.
enum class answer_kind
{
    stream,
    resumable_stream,
    unsafe,
    safe,
    error,
    long_answer, ///< Longer than what is gathered before it is passed on.
};

constexpr std::array framings{framing::length, framing::chunks, framing::none};
constexpr std::array endings{ending::whole,      ending::between_events, ending::inside_event,
                             ending::after_head, ending::reset,          ending::reset_after_head};
constexpr std::array kinds{answer_kind::stream, answer_kind::resumable_stream,
                           answer_kind::unsafe, answer_kind::safe,
                           answer_kind::error,  answer_kind::long_answer};

bool is_stream(answer_kind kind)
{
    return kind == answer_kind::stream || kind == answer_kind::resumable_stream;
}

std::string event_text(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
    {
        text += fmt::format("id: {}\ndata: t{}\n\n", id, id);
    }
    return text;
}

constexpr int last_event = 4;
constexpr std::size_t gathered_bytes = 1'000; ///< Of a plain answer before it is passed on.

std::string whole_body(answer_kind kind)
{
    if (is_stream(kind))
    {
        return event_text(1, last_event);
    }
    return std::string(kind == answer_kind::long_answer ? gathered_bytes * 20 : 60, 'x');
}

/// Part of the body that is sent before the answer ends.
std::string sent_body(answer_kind kind, ending end)
{
    std::string body = whole_body(kind);
    switch (end)
    {
    case ending::whole:
        return body;
    case ending::between_events:
    case ending::reset:
        return is_stream(kind) ? event_text(1, 2) : body.substr(0, body.size() / 2);
    case ending::inside_event:
        return body.substr(0, body.size() - 3);
    case ending::after_head:
    case ending::reset_after_head:
        return {};
    }
    return {};
}

reply answer_of(framing frame, ending end, answer_kind kind)
{
    const std::string body = sent_body(kind, end);
    std::string text = fmt::format("HTTP/1.1 {} X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n{}",
                                   kind == answer_kind::error ? 400 : 200,
                                   is_stream(kind) ? "Content-Type: text/event-stream\r\n" : "");
    if (frame == framing::length)
    {
        text += fmt::format("Content-Length: {}\r\n\r\n{}", whole_body(kind).size(), body);
    }
    else if (frame == framing::chunks)
    {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        text += body.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", body.size(), body);
        text += end == ending::whole ? end_of_chunks : "";
    }
    else
    {
        text += "\r\n" + body;
    }
    reply wanted{text};
    wanted.m_reset = end == ending::reset || end == ending::reset_after_head;
    wanted.m_close = !wanted.m_reset;
    return wanted;
}

/// What an upstream's answer proves of its own end.
end_claim proof_of(framing frame, ending end, answer_kind kind)
{
    if (end == ending::reset || end == ending::reset_after_head)
    {
        return end_claim::broken;
    }
    if (frame != framing::none)
    {
        return end == ending::whole ? end_claim::complete : end_claim::broken;
    }
    const bool is_cut_event = is_stream(kind) && end == ending::inside_event;
    const bool has_no_event = is_stream(kind) && end == ending::after_head;
    return is_cut_event || has_no_event ? end_claim::broken : end_claim::closed;
}

std::string unframed_events(int first, int last, const std::string& rest = {})
{
    return "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\nContent-Type: "
           "text/event-stream\r\n\r\n" +
           event_text(first, last) + rest;
}

} // namespace

/// Relay with a caller that keeps the bytes of its answer.
class framing_fixture : public relay_fixture
{
public:
    void configure_for(answer_kind kind)
    {
        m_state->m_session_settings.m_buffer_limit_bytes = gathered_bytes;
        const auto plain = kind == answer_kind::safe ? relay::request_kind::idempotent
                                                     : relay::request_kind::non_idempotent;
        configure(is_stream(kind) ? relay::request_kind::stream : plain,
                  kind == answer_kind::resumable_stream);
    }

    void answer_with(const reply& wanted)
    {
        add_upstream([wanted](const std::string&) { return wanted; });
    }

    std::unique_ptr<raw_caller> ask(const std::string& body = "question")
    {
        auto caller = std::make_unique<raw_caller>(
            m_loop.m_context, m_port,
            fmt::format("POST /a/b HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r1\r\n"
                        "X-Request-Deadline-Ms: 3000\r\nAuthorization: Token k\r\n"
                        "Content-Length: {}\r\n\r\n{}",
                        body.size(), body));
        m_loop.run_until([&caller] { return caller->is_over(); });
        return caller;
    }
};

void check_case(answer_kind kind, framing frame, ending end)
{
    framing_fixture relay;
    relay.setUp();
    relay.configure_for(kind);
    relay.answer_with(answer_of(frame, end, kind));
    const auto caller = relay.ask();
    const std::string which =
        fmt::format("kind {} framing {} end {}: status {} claim {}", static_cast<int>(kind),
                    static_cast<int>(frame), static_cast<int>(end), caller->status(),
                    static_cast<int>(caller->claim()));
    const bool is_own = !caller->has_field("X-Response-Seal: s");
    CPPUNIT_ASSERT_MESSAGE(which, !is_own || caller->status() == 502 || caller->status() == 0);
    const end_claim proof = proof_of(frame, end, kind);
    CPPUNIT_ASSERT_MESSAGE(which, is_own || caller->claim() <= proof);
    // What is whole by the upstream's word, or may be, is passed on.
    if (proof != end_claim::broken)
    {
        CPPUNIT_ASSERT_MESSAGE(which, caller->claim() == proof && !is_own);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(which, sent_body(kind, end), caller->body());
    }
    relay.tearDown();
}

/// Frames of answers: none may claim more of its end than the upstream proved.
class response_framing_test : public framing_fixture
{
    CPPUNIT_TEST_SUITE(response_framing_test);
    CPPUNIT_TEST(no_frame_claims_more_than_the_upstream_proved);
    CPPUNIT_TEST(unframed_stream_cut_between_events_is_not_framed_as_complete);
    CPPUNIT_TEST(unframed_plain_answer_gets_no_length);
    CPPUNIT_TEST(unframed_resumable_stream_without_an_event_is_asked_for_elsewhere);
    CPPUNIT_TEST(stream_resumed_without_frame_does_not_end_with_a_last_chunk);
    CPPUNIT_TEST(unframed_stream_is_whole_after_a_framed_resume);
    CPPUNIT_TEST(stream_whose_resumed_run_answers_an_error_is_broken_off);
    CPPUNIT_TEST(long_error_of_a_resumed_run_is_not_joined_to_the_stream);
    CPPUNIT_TEST(unframed_answer_reset_while_its_request_is_sent_is_not_whole);
    CPPUNIT_TEST(unframed_stream_of_a_crashed_engine_goes_on_elsewhere);
    CPPUNIT_TEST(unframed_stream_of_a_crashed_engine_is_broken_off);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_frame_claims_more_than_the_upstream_proved()
    {
        for (const answer_kind kind : kinds)
        {
            for (const framing frame : framings)
            {
                for (const ending end : endings)
                {
                    check_case(kind, frame, end);
                }
            }
        }
    }

    void unframed_stream_cut_between_events_is_not_framed_as_complete()
    {
        configure(relay::request_kind::stream);
        add_upstream([](const std::string&) { return reply{unframed_events(1, 2), true}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), caller->body());
        CPPUNIT_ASSERT(caller->claim() != end_claim::complete);
    }

    void unframed_plain_answer_gets_no_length()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) {
            return reply{"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n\r\ntext",
                         true};
        });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(std::string("text"), caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::closed);
    }

    void unframed_resumable_stream_without_an_event_is_asked_for_elsewhere()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) { return reply{unframed_events(1, 0), true}; });
        add_upstream([](const std::string&) { return reply{events(1, 4) + end_of_chunks}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 4), caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::complete);
    }

    void stream_resumed_without_frame_does_not_end_with_a_last_chunk()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) {
            reply wanted{events(1, 2)};
            wanted.m_reset = true;
            return wanted;
        });
        add_upstream([](const std::string&) { return reply{unframed_events(3, 3), true}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 3), caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::broken);
    }

    void unframed_stream_is_whole_after_a_framed_resume()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) {
            return reply{unframed_events(1, 2, "id: 3\nda"), true};
        });
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 4), caller->body());
        CPPUNIT_ASSERT(caller->claim() >= end_claim::closed);
    }

    void stream_whose_resumed_run_answers_an_error_is_broken_off()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) {
            reply wanted{events(1, 2)};
            wanted.m_reset = true;
            return wanted;
        });
        add_upstream([](const std::string&) { return reply{whole("no", 400)}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::broken);
    }

    void long_error_of_a_resumed_run_is_not_joined_to_the_stream()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) {
            reply wanted{events(1, 2)};
            wanted.m_reset = true;
            return wanted;
        });
        add_upstream([](const std::string&) {
            return reply{whole(std::string(std::size_t{300} * 1024, 'n'), 400)};
        });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::broken);
    }

    /// The socket reports the reset to the write alone, so that the read sees an ordinary end.
    void unframed_answer_reset_while_its_request_is_sent_is_not_whole()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) {
            reply wanted{"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n\r\nte"};
            wanted.m_reset = true;
            return wanted;
        });
        const auto caller = ask(std::string(std::size_t{7} * 1024 * 1024, 'q'));
        CPPUNIT_ASSERT_EQUAL(502U, caller->status());
    }

    void unframed_stream_of_a_crashed_engine_goes_on_elsewhere()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([this](const std::string&) {
            m_upstreams.front()->stop();
            return reply{unframed_events(1, 2), true};
        });
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 4), caller->body());
        CPPUNIT_ASSERT(caller->claim() >= end_claim::closed);
    }

    void unframed_stream_of_a_crashed_engine_is_broken_off()
    {
        configure(relay::request_kind::stream);
        add_upstream([this](const std::string&) {
            m_upstreams.front()->stop();
            return reply{unframed_events(1, 2), true};
        });
        const auto caller = ask();
        CPPUNIT_ASSERT(caller->claim() == end_claim::broken);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(response_framing_test, "platform");
