#include "unit_tests/platform/relay_fixture.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using namespace tarragontrail::test;

namespace {

/// Codec that fails where a test wants it.
class failing_codec : public platform::caller_codec
{
public:
    using caller_codec::encode;

    net::http_request encode(const relay::caller_request& request,
                             const relay::upstream_request_metadata& metadata) const override
    {
        if (++m_encoded == m_failing_encode)
        {
            throw core::error("encode");
        }
        return caller_codec::encode(request, metadata);
    }

    relay::response_metadata parse_head(const net::http_response& head,
                                        const relay::caller_request& request,
                                        const relay::upstream_record& upstream) const override
    {
        if (m_fails_at_head)
        {
            throw core::error("parse_head");
        }
        return caller_codec::parse_head(head, request, upstream);
    }

    net::http_response forward_head(const net::http_response& head) const override
    {
        if (m_fails_at_forward)
        {
            throw core::error("forward_head");
        }
        return caller_codec::forward_head(head);
    }

    mutable int m_encoded = 0; ///< Requests encoded.
    int m_failing_encode = 0;  ///< Number of the request whose encoding fails; zero for none.
    bool m_fails_at_head = false;
    bool m_fails_at_forward = false;
};

/// Time of the loop in which a request ends by itself, and then by its deadline.
constexpr std::chrono::milliseconds before_deadline{400};
constexpr std::chrono::milliseconds beyond_deadline{1'000};

constexpr unsigned outcome_unknown_status = 502;
constexpr unsigned not_run_status = 503;

} // namespace

/// Exceptions in the handlers of a request that has begun.
class broken_handler_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(broken_handler_test);
    CPPUNIT_TEST(failure_at_the_end_of_an_answer_promises_nothing);
    CPPUNIT_TEST(failure_at_the_head_promises_nothing);
    CPPUNIT_TEST(failure_before_the_next_send_of_a_refused_request_says_so);
    CPPUNIT_TEST(failure_before_a_stream_is_resumed_breaks_it_off);
    CPPUNIT_TEST(load_that_was_lost_costs_no_answer);
    CPPUNIT_TEST_SUITE_END();

    failing_codec m_failing;
    int m_escaped = 0; ///< Exceptions that came to the loop.

    /// Handles what is due, as the loop of a process does, until the request has ended; when an
    /// exception has left it open, until its deadline.
    net::http_client::fetch_result ask()
    {
        std::optional<net::http_client::fetch_result> result;
        net::call_settings settings;
        settings.m_fresh_connection = true;
        settings.m_first_byte_timeout = 10s;
        settings.m_idle_timeout = 10s;
        m_loop.m_client.fetch(
            net::make_endpoint("127.0.0.1", m_port), request(), settings,
            [&result](const net::http_client::fetch_result& value) { result = value; });
        const auto is_answered = [&result] { return result.has_value(); };
        run_for(before_deadline, is_answered);
        run_for(beyond_deadline, is_answered);
        CPPUNIT_ASSERT_MESSAGE("no answer", is_answered());
        return *result;
    }

    /// Runs the loop while the clock advances, until a condition holds.
    template <class Condition>
    void run_for(std::chrono::milliseconds time, Condition condition)
    {
        constexpr std::chrono::milliseconds step{1};
        m_loop.m_context.restart();
        for (std::chrono::milliseconds passed{}; passed < time && !condition(); passed += step)
        {
            try
            {
                m_loop.m_context.run_one_for(5 * step);
            }
            catch (const core::error&)
            {
                ++m_escaped;
            }
            core::runtime_clock::advance(step);
        }
    }

    void check_ended(unsigned status, const net::http_client::fetch_result& result)
    {
        CPPUNIT_ASSERT_EQUAL(status, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(0, m_escaped);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_relay->in_flight());
        for (const auto& [id, known] : m_state->m_upstreams.all())
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, known->m_load.own().m_in_flight);
        }
    }

public:
    void setUp() override
    {
        core::runtime_clock::pause();
        build(m_failing);
    }

    void tearDown() override
    {
        relay_fixture::tearDown();
        core::runtime_clock::resume();
    }

    void failure_at_the_end_of_an_answer_promises_nothing()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) { return reply{whole("done")}; });
        m_failing.m_fails_at_forward = true;
        check_ended(outcome_unknown_status, ask());
    }

    void failure_at_the_head_promises_nothing()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) { return reply{whole("done")}; });
        m_failing.m_fails_at_head = true;
        check_ended(outcome_unknown_status, ask());
    }

    void failure_before_the_next_send_of_a_refused_request_says_so()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([](const std::string&) { return reply{rejection()}; });
        add_upstream([](const std::string&) { return reply{whole("done")}; });
        m_failing.m_failing_encode = 2;
        check_ended(not_run_status, ask());
    }

    void failure_before_a_stream_is_resumed_breaks_it_off()
    {
        configure(relay::request_kind::stream, true);
        add_upstream([](const std::string&) { return reply{events(1, 2), true}; });
        add_upstream([](const std::string&) { return reply{events(1, 4)}; });
        m_failing.m_failing_encode = 2;
        const auto result = ask();
        CPPUNIT_ASSERT(!result.m_ok);
        check_ended(result.m_response.result_int(), result);
    }

    void load_that_was_lost_costs_no_answer()
    {
        configure(relay::request_kind::non_idempotent);
        add_upstream([this](const std::string&) {
            const auto sent_to = m_state->m_upstreams.find(core::id_of<core::upstream_id>("u1"));
            sent_to->m_load.on_ended({}, false);
            return reply{whole("done")};
        });
        check_ended(200, ask());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(broken_handler_test, "platform");
