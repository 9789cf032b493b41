#include "unit_tests/platform/raw_caller.hpp"
#include "unit_tests/platform/relay_fixture.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;

/// Streams whose events have other ids than one, two, three, or none.
class event_ids_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(event_ids_test);
    CPPUNIT_TEST(event_without_an_id_does_not_come_twice);
    CPPUNIT_TEST(stream_without_ids_does_not_begin_anew);
    CPPUNIT_TEST(event_with_an_odd_id_does_not_come_twice);
    CPPUNIT_TEST(stream_whose_ids_go_back_is_not_resumed);
    CPPUNIT_TEST(stream_goes_on_behind_a_numbered_event);
    CPPUNIT_TEST(comment_is_no_event);
    CPPUNIT_TEST(events_with_equal_ids_of_one_run_all_arrive);
    CPPUNIT_TEST(ids_in_every_form_are_read);
    CPPUNIT_TEST(half_event_is_not_joined_to_the_next_run);
    CPPUNIT_TEST(run_that_begins_anew_brings_no_event_twice);
    CPPUNIT_TEST(taken_up_run_that_begins_anew_brings_no_event_twice);
    CPPUNIT_TEST(stream_that_may_not_be_resumed_is_sent_once);
    CPPUNIT_TEST_SUITE_END();

    static std::string stream_of(const std::string& text, const std::string& id = "r1")
    {
        return fmt::format("HTTP/1.1 200 X\r\nX-Request-Id: {}\r\nX-Response-Seal: s\r\n"
                           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "{:x}\r\n{}\r\n",
                           id, text.size(), text);
    }

    std::vector<std::unique_ptr<raw_caller>> m_callers; ///< Their reads outlive the cases.

    const raw_caller* ask(const std::string& head = "X-Request-Id: r1\r\n")
    {
        m_callers.push_back(std::make_unique<raw_caller>(
            m_loop.m_context, m_port,
            "POST /a/b HTTP/1.1\r\nHost: one.example\r\n" + head +
                "X-Request-Deadline-Ms: 3000\r\nAuthorization: Token k\r\n"
                "Content-Length: 0\r\n\r\n"));
        const raw_caller* caller = m_callers.back().get();
        m_loop.run_until([caller] { return caller->is_over(); });
        return caller;
    }

    /// What was known of the upstreams of the case before does not hold for the next ones.
    void forget_upstreams()
    {
        const core::time_point now = core::runtime_clock::now();
        m_upstreams.clear();
        for (const char* name : {"u1", "u2"})
        {
            m_state->m_upstreams.remove(core::id_of<core::upstream_id>(std::string(name)), now);
        }
        m_state->m_upstreams.remove_departed({}, now);
        m_state->m_stream_versions.on_contact(now);
    }

    /// What the caller of a resumable stream gets, whose first run breaks off.
    const raw_caller* break_off(const std::string& first, const std::string& second)
    {
        configure(relay::request_kind::stream, true);
        add_upstream([first](const std::string&) { return reply{stream_of(first), true}; });
        add_upstream(
            [second](const std::string&) { return reply{stream_of(second) + end_of_chunks}; });
        return ask();
    }

    /// The stream is broken off behind what its first run brought.
    void check_is_not_resumed(const std::string& first)
    {
        const raw_caller* caller = break_off(first, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
        CPPUNIT_ASSERT_EQUAL(first, caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::broken);
        CPPUNIT_ASSERT(m_upstreams.back()->m_requests.empty());
    }

public:
    void event_without_an_id_does_not_come_twice()
    {
        check_is_not_resumed("id: 1\ndata: t1\n\ndata: t2\n\n");
    }

    void stream_without_ids_does_not_begin_anew() { check_is_not_resumed("data: t1\n\n"); }

    void event_with_an_odd_id_does_not_come_twice()
    {
        check_is_not_resumed("id: 1\ndata: t1\n\nid: 2b\ndata: t2\n\n");
    }

    /// Nothing tells which of its events an engine would leave out.
    void stream_whose_ids_go_back_is_not_resumed()
    {
        check_is_not_resumed("id: 2\ndata: t1\n\nid: 1\ndata: t2\n\n");
    }

    void stream_goes_on_behind_a_numbered_event()
    {
        const std::string first = "id: 1\ndata: t1\n\ndata: x\n\nid: 2\ndata: t2\n\n";
        const std::string second = "id: 3\ndata: t3\n\n";
        CPPUNIT_ASSERT_EQUAL(first + second, break_off(first, second)->body());
    }

    void comment_is_no_event()
    {
        const std::string first = "id: 1\ndata: t1\n\n: still here\n\n";
        const std::string second = ": hello\n\nid: 2\ndata: t2\n\n";
        const raw_caller* caller = break_off(first, second);
        CPPUNIT_ASSERT_EQUAL(first + second, caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::complete);
    }

    /// What one run brings is the upstream's body.
    void events_with_equal_ids_of_one_run_all_arrive()
    {
        const std::string text = "id: 1\ndata: t1\n\nid: 1\ndata: t2\n\nid: 0\ndata: t3\n\n";
        configure(relay::request_kind::stream);
        add_upstream([text](const std::string&) { return reply{stream_of(text) + end_of_chunks}; });
        CPPUNIT_ASSERT_EQUAL(text, ask()->body());
    }

    void ids_in_every_form_are_read()
    {
        const std::string second = "id: 3\ndata: t3\n\n";
        for (const std::string& last : {
                 std::string("id:2\ndata:t2\n\n"),
                 std::string("id: 2\r\ndata: t2\r\n\r\n"),
                 std::string("x-weight-versions: 7\nid: 2\ndata: t2\n\n"),
                 std::string(": note\nid: 2\ndata: t2\n\n"),
                 std::string("data: t2\nid: 2\n\n"),
                 std::string("data: id: 9\nid: 2\n\n"),
             })
        {
            forget_upstreams();
            const std::string first = "id: 1\ndata: t1\n\n" + last;
            const raw_caller* caller = break_off(first, second);
            CPPUNIT_ASSERT_EQUAL(first + second, caller->body());
            CPPUNIT_ASSERT(m_upstreams.back()->m_requests.front().find("Last-Event-Id: 2\r\n") !=
                           std::string::npos);
        }
    }

    void half_event_is_not_joined_to_the_next_run()
    {
        const std::string whole_event = "id: 1\ndata: t1\n\n";
        const std::string next = "id: 2\ndata: t2\n\n";
        const raw_caller* caller = break_off(whole_event + "id: 2\ndata: t", next);
        CPPUNIT_ASSERT_EQUAL(whole_event + next, caller->body());
    }

    void run_that_begins_anew_brings_no_event_twice()
    {
        const std::string first = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n";
        const std::string next = "id: 3\ndata: t3\n\n";
        CPPUNIT_ASSERT_EQUAL(first + next, break_off(first, first + next)->body());
    }

    /// The caller has the first two events from another answer.
    void taken_up_run_that_begins_anew_brings_no_event_twice()
    {
        configure(relay::request_kind::stream, true);
        const std::string next = "id: 3\ndata: t3\n\n";
        add_upstream([next](const std::string&) {
            return reply{stream_of("id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n" + next, "r2") +
                         end_of_chunks};
        });
        m_state->m_stream_versions.on_begun("s", core::id_of<relay::stream_id>(std::string("r1")),
                                            {}, core::runtime_clock::now());
        const raw_caller* caller = ask("X-Request-Id: r2\r\nResumes: r1\r\nLast-Event-Id: 2\r\n");
        CPPUNIT_ASSERT_EQUAL(next, caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::complete);
    }

    /// However its first run breaks off: before its head, behind it, inside an event or behind one.
    void stream_that_may_not_be_resumed_is_sent_once()
    {
        const std::string head = "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n"
                                 "Content-Type: text/event-stream\r\n";
        for (const std::string& sent :
             {std::string(), head, head + "\r\n", head + "Transfer-Encoding: chunked\r\n\r\n",
              stream_of("id: 1\nda"), stream_of("id: 1\ndata: t1\n\n")})
        {
            for (const bool is_reset : {false, true})
            {
                forget_upstreams();
                configure(relay::request_kind::stream);
                add_upstream([sent, is_reset](const std::string&) {
                    return reply{sent, !is_reset, false, is_reset};
                });
                add_upstream([](const std::string&) { return reply{events(1, 2)}; });
                CPPUNIT_ASSERT(ask()->claim() != end_claim::closed);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_upstreams[0]->m_requests.size() +
                                                         m_upstreams[1]->m_requests.size());
                CPPUNIT_ASSERT(m_upstreams[1]->m_requests.empty() || sent.empty());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(event_ids_test, "platform");
