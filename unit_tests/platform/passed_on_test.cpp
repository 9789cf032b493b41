#include "unit_tests/platform/raw_caller.hpp"
#include "unit_tests/platform/relay_fixture.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;

/// Requests that arrive at an instance that reaches no upstream, beside one that does.
class passed_on_test : public relay_fixture, public relay::peer_source
{
    CPPUNIT_TEST_SUITE(passed_on_test);
    CPPUNIT_TEST(request_is_served_by_an_instance_that_reaches_its_service);
    CPPUNIT_TEST(stream_arrives_whole);
    CPPUNIT_TEST(first_upstreams_may_still_be_tried);
    CPPUNIT_TEST(request_is_passed_on_once);
    CPPUNIT_TEST(refusal_of_the_other_instance_reaches_the_caller);
    CPPUNIT_TEST(limit_is_charged_at_the_other_instance_alone);
    CPPUNIT_TEST(unsafe_request_that_was_lost_on_the_way_is_no_promise);
    CPPUNIT_TEST(refusal_is_no_promise_for_an_earlier_attempt);
    CPPUNIT_TEST(earlier_attempt_counts_at_the_other_instance);
    CPPUNIT_TEST(leave_of_the_caller_reaches_the_upstream);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        relay_fixture::setUp();
        m_other_state = std::make_unique<relay::relay_state>(
            m_loop.m_context, m_codec, relay::upstream_selector_settings{},
            relay::locality{"here", "r"}, core::instance_id{2}, 2);
        const net::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        m_other = std::make_unique<relay::relay_service>(*m_other_state, any, 100, any);
        m_peer_port = m_other->peer_port();
        m_state->m_peers = this;
        m_other_state->m_peers = this;
    }

    void tearDown() override
    {
        m_loop.m_context.stop();
        m_other.reset();
        m_other_state->m_sessions.clear();
        relay_fixture::tearDown();
        m_other_state.reset();
    }

    std::optional<relay::passing_peer>
    peer_reaching(const std::string& /*service*/,
                  const std::vector<core::instance_id>& tried) override
    {
        ++m_asked;
        if (!tried.empty())
        {
            return std::nullopt;
        }
        return relay::passing_peer{core::instance_id{2},
                                   net::make_endpoint("127.0.0.1", m_peer_port)};
    }

    void request_is_served_by_an_instance_that_reaches_its_service()
    {
        configure_both(relay::request_kind::non_idempotent);
        answer([](const std::string&) { return reply{whole("text")}; });
        cut_off();
        const auto result = send(request("/a/b?c=d"));
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), result.m_response.body());
        CPPUNIT_ASSERT_EQUAL(std::string("s"),
                             net::header_value(result.m_response, "X-Response-Seal"));
        const std::string& sent = m_upstreams.back()->m_requests.front();
        CPPUNIT_ASSERT(sent.starts_with("POST /a/b?c=d "));
        CPPUNIT_ASSERT(sent.find("Authorization") == std::string::npos);
        CPPUNIT_ASSERT(sent.find("X-Tenant: w") != std::string::npos);
    }

    void stream_arrives_whole()
    {
        configure_both(relay::request_kind::stream);
        answer([](const std::string&) { return reply{events(1, 4) + end_of_chunks}; });
        cut_off();
        const auto result = send(request());
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT(result.m_response.body().ends_with("id: 4\ndata: t4\n\n"));
    }

    /// Nothing has shown yet that the service is cut off, and no connection is accepted.
    void first_upstreams_may_still_be_tried()
    {
        configure_both(relay::request_kind::non_idempotent);
        answer([](const std::string&) { return reply{whole("text")}; });
        for (int i = 0; i < 3; ++i)
        {
            add_upstream([](const std::string&) { return reply{whole("near")}; });
            m_upstreams.back()->stop();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("text"), send(request()).m_response.body());
        CPPUNIT_ASSERT(m_state->m_reach.is_cut_off("s"));
    }

    void request_is_passed_on_once()
    {
        configure_both(relay::request_kind::idempotent);
        cut_off();
        m_other_state->m_reach.on_failure("s", core::upstream_id{9}, 1);
        CPPUNIT_ASSERT_EQUAL(503U, send(request()).m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(1, m_asked);
    }

    void refusal_of_the_other_instance_reaches_the_caller()
    {
        configure_both(relay::request_kind::non_idempotent);
        cut_off();
        const auto result = send(request());
        CPPUNIT_ASSERT_EQUAL(503U, result.m_response.result_int());
        CPPUNIT_ASSERT(!net::header_value(result.m_response, "Retry-After").empty());
    }

    void limit_is_charged_at_the_other_instance_alone()
    {
        configure_both(relay::request_kind::non_idempotent, 1);
        answer([](const std::string&) { return reply{whole("text")}; });
        cut_off();
        CPPUNIT_ASSERT_EQUAL(200U, send(request()).m_response.result_int());
        const auto workspace = core::id_of<core::workspace_id>("w");
        const core::time_point now = core::runtime_clock::now();
        CPPUNIT_ASSERT(!m_state->m_limits.try_consume(workspace, 1, now));
        CPPUNIT_ASSERT(m_other_state->m_limits.try_consume(workspace, 1, now));
    }

    void unsafe_request_that_was_lost_on_the_way_is_no_promise()
    {
        configure_both(relay::request_kind::non_idempotent);
        reply lost{""};
        lost.m_reset = true;
        m_upstreams.push_back(std::make_unique<scripted_upstream>(
            m_loop.m_context, [lost](const std::string&) { return lost; }));
        m_peer_port = m_upstreams.back()->port();
        cut_off();
        CPPUNIT_ASSERT_EQUAL(502U, send(request()).m_response.result_int());
    }

    /// It may have run where the first attempt was lost.
    void refusal_is_no_promise_for_an_earlier_attempt()
    {
        configure_both(relay::request_kind::idempotent);
        add_upstream([this](const std::string&) {
            cut_off();
            reply lost{""};
            lost.m_reset = true;
            return lost;
        });
        CPPUNIT_ASSERT_EQUAL(502U, send(request()).m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(1, m_asked);
    }

    /// The route allows two; a third would run the request once more.
    void earlier_attempt_counts_at_the_other_instance()
    {
        configure_both(relay::request_kind::idempotent);
        reply lost{""};
        lost.m_reset = true;
        add_upstream([this, lost](const std::string&) {
            cut_off();
            return lost;
        });
        answer([lost](const std::string&) { return lost; });
        answer([](const std::string&) { return reply{whole("text")}; });
        CPPUNIT_ASSERT_EQUAL(502U, send(request()).m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_upstreams[1]->m_requests.size() + m_upstreams[2]->m_requests.size());
        for (const auto& each : m_upstreams)
        {
            for (const std::string& head : each->m_requests)
            {
                CPPUNIT_ASSERT(head.find("Tarragontrail-") == std::string::npos);
            }
        }
    }

    void leave_of_the_caller_reaches_the_upstream()
    {
        configure_both(relay::request_kind::non_idempotent);
        answer([](const std::string&) { return reply{events(1, 1)}; });
        cut_off();
        auto caller = std::make_unique<raw_caller>(
            m_loop.m_context, m_port,
            "POST /a/b HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r1\r\n"
            "X-Request-Deadline-Ms: 3000\r\nAuthorization: Token k\r\nContent-Length: 0\r\n\r\n");
        m_loop.run_until([this] { return !m_upstreams.back()->m_requests.empty(); });
        caller->leave();
        m_loop.run_until([this] { return m_upstreams.back()->m_closed_by_client > 0; });
        CPPUNIT_ASSERT_EQUAL(1, m_upstreams.back()->m_closed_by_client);
    }

private:
    std::unique_ptr<relay::relay_state> m_other_state;
    std::unique_ptr<relay::relay_service> m_other;
    std::uint16_t m_peer_port = 0; ///< Where the request is passed on to.
    int m_asked = 0;               ///< Times that an instance was asked for.

    void configure_both(relay::request_kind kind, std::uint64_t rate = 0)
    {
        configure(kind);
        relay::relay_config config = m_state->m_routes->config();
        config.m_workspaces.front().m_rate = rate;
        config.m_workspaces.front().m_burst = rate;
        m_state->m_routes = std::make_shared<const relay::route_table>(config);
        m_other_state->m_routes = m_state->m_routes;
        m_other->apply_limits();
        for (relay::relay_state* state : {m_state.get(), m_other_state.get()})
        {
            // Limits begin without anything to spend.
            state->m_limits.set_limit(core::id_of<core::workspace_id>("w"), {0.5, 1.0},
                                      core::runtime_clock::now() - std::chrono::seconds(10));
        }
    }

    /// Adds an upstream that the other instance alone knows.
    void answer(const scripted_upstream::script& script)
    {
        m_upstreams.push_back(std::make_unique<scripted_upstream>(m_loop.m_context, script));
        relay::upstream_record record;
        record.m_name = fmt::format("far{}", m_upstreams.size());
        record.m_id = core::id_of<core::upstream_id>(record.m_name);
        record.m_service = "s";
        record.m_endpoint = net::make_endpoint("127.0.0.1", m_upstreams.back()->port());
        record.m_region = "r";
        record.m_failure_domain = "here";
        record.m_slots = 16;
        m_other_state->m_upstreams.apply(record, core::runtime_clock::now());
    }

    /// The instance that callers use reaches no upstream of the service.
    void cut_off() { m_state->m_reach.on_failure("s", core::upstream_id{9}, 1); }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(passed_on_test, "platform");
