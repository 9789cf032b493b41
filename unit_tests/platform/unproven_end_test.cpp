#include "unit_tests/platform/raw_caller.hpp"
#include "unit_tests/platform/relay_fixture.hpp"
#include "unit_tests/relay/test_instance.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace tarragontrail;
using namespace tarragontrail::test;

namespace {

/// Stream without length or chunks that holds these events.
std::string unframed_events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
    {
        text += fmt::format("id: {}\ndata: t{}\n\n", id, id);
    }
    return "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n"
           "Content-Type: text/event-stream\r\n\r\n" +
           text;
}

/// What is found at the address of the first upstream; the others are there all the while.
class present_engines : public silent_engines
{
public:
    explicit present_engines(boost::asio::io_context& context) : m_context(context) {}

    void check_presence(const upstream_record& asked,
                        std::function<void(process_presence)> handler) override
    {
        boost::asio::post(m_context, [handler = std::move(handler),
                                      presence = asked.m_name == "u1" ? next_presence()
                                                                      : process_presence::same] {
            handler(presence);
        });
    }

    process_presence m_presence = process_presence::same;
    std::optional<int> m_silent_answers; ///< Until one is the same again; empty for ever.
    /// At the first questions; a resumable stream asks one ahead of its first event.
    std::deque<process_presence> m_first_presences;

private:
    process_presence next_presence()
    {
        if (!m_first_presences.empty())
        {
            const process_presence first = m_first_presences.front();
            m_first_presences.pop_front();
            return first;
        }
        if (m_silent_answers && (*m_silent_answers)-- == 0)
        {
            m_presence = process_presence::same;
        }
        return m_presence;
    }

    boost::asio::io_context& m_context;
};

} // namespace

/// Answers that end by the ordinary close of a process that may have ended with them.
class unproven_end_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(unproven_end_test);
    CPPUNIT_TEST(unframed_stream_of_an_engine_that_left_goes_on_elsewhere);
    CPPUNIT_TEST(unframed_stream_of_an_engine_that_left_is_broken_off);
    CPPUNIT_TEST(unframed_answer_of_an_upstream_that_left_is_not_whole);
    CPPUNIT_TEST(unframed_stream_of_an_engine_that_is_there_is_whole);
    CPPUNIT_TEST(unframed_stream_of_an_engine_that_started_again_goes_on_elsewhere);
    CPPUNIT_TEST(unframed_stream_of_an_engine_that_does_not_respond_goes_on_elsewhere);
    CPPUNIT_TEST(unframed_stream_of_an_engine_that_is_silent_for_a_while_is_whole);
    CPPUNIT_TEST(long_unframed_answer_of_an_upstream_that_left_is_not_joined);
    CPPUNIT_TEST(events_of_another_start_under_the_same_id_are_not_passed_on);
    CPPUNIT_TEST(events_of_a_start_that_is_silent_for_a_while_are_passed_on);
    CPPUNIT_TEST(stream_that_ends_before_its_start_is_proven_is_whole);
    CPPUNIT_TEST(start_is_asked_for_once_on_a_kept_connection);
    CPPUNIT_TEST_SUITE_END();

public:
    void unframed_stream_of_an_engine_that_left_goes_on_elsewhere()
    {
        configure(relay::request_kind::stream, true);
        add_leaving(unframed_events(1, 2));
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 4), caller->body());
        CPPUNIT_ASSERT(caller->claim() >= end_claim::closed);
    }

    void unframed_stream_of_an_engine_that_left_is_broken_off()
    {
        configure(relay::request_kind::stream);
        add_leaving(unframed_events(1, 2));
        CPPUNIT_ASSERT(ask()->claim() == end_claim::broken);
    }

    void unframed_answer_of_an_upstream_that_left_is_not_whole()
    {
        configure(relay::request_kind::non_idempotent);
        add_leaving("HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n\r\nte");
        CPPUNIT_ASSERT_EQUAL(502U, ask()->status());
    }

    void unframed_stream_of_an_engine_that_is_there_is_whole()
    {
        configure_engines(process_presence::same);
        add_upstream([](const std::string&) { return reply{unframed_events(1, 2), true}; });
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::closed);
        CPPUNIT_ASSERT(m_upstreams[1]->m_requests.empty());
    }

    /// It listens again at its address before anybody looks.
    void unframed_stream_of_an_engine_that_started_again_goes_on_elsewhere()
    {
        check_goes_on_elsewhere(process_presence::another);
    }

    void unframed_stream_of_an_engine_that_does_not_respond_goes_on_elsewhere()
    {
        check_goes_on_elsewhere(process_presence::silent);
        const auto closed = m_state->m_upstreams.find(core::id_of<core::upstream_id>("u1"));
        CPPUNIT_ASSERT(closed->m_doubted_since.has_value());
    }

    void unframed_stream_of_an_engine_that_is_silent_for_a_while_is_whole()
    {
        configure_engines(process_presence::silent);
        m_engines.m_silent_answers = 2;
        add_upstream([](const std::string&) { return reply{unframed_events(1, 2), true}; });
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), ask()->body());
    }

    /// Part of it has been passed on, and another run's answer may differ.
    void long_unframed_answer_of_an_upstream_that_left_is_not_joined()
    {
        m_state->m_session_settings.m_buffer_limit_bytes = 100;
        configure(relay::request_kind::idempotent);
        add_leaving("HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n\r\n" +
                    std::string(200, 'x'));
        add_upstream([](const std::string&) { return reply{whole("other")}; });
        const auto caller = ask();
        CPPUNIT_ASSERT(caller->claim() == end_claim::broken);
        CPPUNIT_ASSERT(m_upstreams[1]->m_requests.empty());
    }

    /// It may run another software version than the row tells.
    void events_of_another_start_under_the_same_id_are_not_passed_on()
    {
        configure_engines(process_presence::another);
        m_engines.m_first_presences.clear();
        add_upstream([](const std::string&) { return reply{events(1, 2) + end_of_chunks}; });
        add_upstream([](const std::string&) { return reply{events(1, 3) + end_of_chunks}; });
        CPPUNIT_ASSERT_EQUAL(event_text(1, 3), text_of(send(request())));
        const auto replaced = m_state->m_upstreams.find(core::id_of<core::upstream_id>("u1"));
        CPPUNIT_ASSERT(replaced->m_doubted_since.has_value());
    }

    void events_of_a_start_that_is_silent_for_a_while_are_passed_on()
    {
        configure_engines(process_presence::silent);
        m_engines.m_first_presences.clear();
        m_engines.m_silent_answers = 2;
        add_upstream([](const std::string&) { return reply{events(1, 2) + end_of_chunks}; });
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), text_of(send(request())));
    }

    void stream_that_ends_before_its_start_is_proven_is_whole()
    {
        configure_engines(process_presence::same);
        add_upstream([](const std::string&) { return reply{unframed_events(1, 2), true}; });
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), ask()->body());
    }

    void start_is_asked_for_once_on_a_kept_connection()
    {
        configure_engines(process_presence::another);
        add_upstream([](const std::string&) { return reply{events(1, 2) + end_of_chunks}; });
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), text_of(send(request())));
        CPPUNIT_ASSERT_EQUAL(event_text(1, 2), text_of(send(request())));
    }

private:
    static std::string text_of(const net::http_client::fetch_result& result)
    {
        return result.m_response.body();
    }

    present_engines m_engines{m_loop.m_context};

    /// Resumable streams, at engines of which this is found at the end of an answer.
    void configure_engines(process_presence presence)
    {
        configure(relay::request_kind::stream, true);
        m_engines.m_presence = presence;
        m_engines.m_first_presences = {process_presence::same};
        m_state->m_engines = &m_engines;
    }

    void check_goes_on_elsewhere(process_presence presence)
    {
        configure_engines(presence);
        add_upstream([](const std::string&) { return reply{unframed_events(1, 2), true}; });
        add_upstream([](const std::string&) { return reply{events(3, 4) + end_of_chunks}; });
        const auto caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 4), caller->body());
        CPPUNIT_ASSERT(caller->claim() >= end_claim::closed);
    }

    static std::string event_text(int first, int last)
    {
        const std::string head = unframed_events(first, last);
        return head.substr(head.find("\r\n\r\n") + 4);
    }

    /// Adds an upstream that says that it leaves, and whose process ends within its answer.
    void add_leaving(const std::string& answer)
    {
        add_upstream([this, answer](const std::string&) {
            m_state->m_upstreams.find(core::id_of<core::upstream_id>("u1"))->m_leaving_since =
                core::runtime_clock::now();
            m_upstreams.front()->stop();
            return reply{answer, true};
        });
    }

    std::unique_ptr<raw_caller> ask()
    {
        auto caller = std::make_unique<raw_caller>(
            m_loop.m_context, m_port,
            "POST /a/b HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r1\r\n"
            "X-Request-Deadline-Ms: 3000\r\nAuthorization: Token k\r\nContent-Length: 0\r\n\r\n");
        m_loop.run_until([&caller] { return caller->is_over(); });
        return caller;
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(unproven_end_test, "platform");
