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
    CPPUNIT_TEST(refusal_that_an_upstream_did_not_prove_is_no_promise);
    CPPUNIT_TEST(refusal_that_the_other_instance_did_not_prove_is_no_promise);
    CPPUNIT_TEST(earlier_attempt_counts_at_the_other_instance);
    CPPUNIT_TEST(leave_of_the_caller_reaches_the_upstream);
    CPPUNIT_TEST(no_end_claims_more_than_the_upstream_proved);
    CPPUNIT_TEST(events_of_a_resumed_run_arrive_once);
    CPPUNIT_TEST(taken_up_stream_is_told_by_the_plan_of_the_other_instance);
    CPPUNIT_TEST(take_up_that_waited_at_a_stopped_instance_is_old);
    CPPUNIT_TEST(take_up_of_a_patient_caller_is_old);
    CPPUNIT_TEST(take_up_where_callers_are_patient_is_old);
    CPPUNIT_TEST(take_up_of_an_older_build_is_old);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        relay_fixture::setUp();
        m_other_state = std::make_unique<relay::relay_state>(
            m_loop.m_context, m_codec, relay::upstream_selector_settings{},
            relay::locality{"here", "r"}, core::instance_id{2}, 2);
        const net::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        m_other = std::make_unique<relay::relay_service>(*m_other_state, any,
                                                         relay::listener_bounds{100, 100}, any);
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
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.m_response.count("X-Not-Executed"));
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

    void refusal_that_an_upstream_did_not_prove_is_no_promise()
    {
        configure_both(relay::request_kind::non_idempotent);
        answer([](const std::string&) { return reply{whole("lost", 503)}; });
        cut_off();
        const auto result = send(request());
        CPPUNIT_ASSERT_EQUAL(502U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.m_response.count("X-Response-Seal"));
    }

    /// An older build passes on what its upstream said.
    void refusal_that_the_other_instance_did_not_prove_is_no_promise()
    {
        for (const unsigned status : {408U, 421U, 429U, 503U})
        {
            for (const std::string& bytes :
                 {whole("lost", status),
                  fmt::format("HTTP/1.1 {} X\r\nX-Request-Id: r1\r\n\r\nlost", status),
                  fmt::format("HTTP/1.1 {} X\r\nX-Request-Id: r1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n4\r\nlost\r\n0\r\n\r\n",
                              status)})
            {
                tearDown();
                setUp();
                configure_both(relay::request_kind::non_idempotent);
                m_upstreams.push_back(std::make_unique<scripted_upstream>(
                    m_loop.m_context, [bytes](const std::string&) {
                        return reply{bytes, true};
                    }));
                m_peer_port = m_upstreams.back()->port();
                cut_off();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 502U, send(request()).m_response.result_int());
            }
        }
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

    /// Streams that may not be resumed, and long answers, over two instances.
    void no_end_claims_more_than_the_upstream_proved()
    {
        const std::string head = "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n";
        const std::string stream = head + "Content-Type: text/event-stream\r\n";
        const std::string two = event_text(1, 2);
        const std::string half = two + "id: 3\ndata";
        const std::string big(500'000, 'x');
        const auto unframed = [](const std::string& start, const std::string& body) {
            return fmt::format("{}\r\n{}", start, body);
        };
        const auto framed = [](const std::string& start, std::size_t length,
                               const std::string& body) {
            return fmt::format("{}Content-Length: {}\r\n\r\n{}", start, length, body);
        };
        for (const auto& [answer, claim] : std::vector<std::pair<reply, end_claim>>{
                 {{framed(stream, two.size(), two)}, end_claim::complete},
                 {{framed(stream, 99, two), true}, end_claim::broken},
                 {{framed(stream, half.size(), half)}, end_claim::broken},
                 {{events(1, 2) + end_of_chunks}, end_claim::complete},
                 {{events(1, 2), true}, end_claim::broken},
                 {{events(1, 2) + "0\r\n", true}, end_claim::broken},
                 {{events(1, 2) + "0", true}, end_claim::broken},
                 {{events(1, 2, "id: 3\ndata") + end_of_chunks}, end_claim::broken},
                 {{events(1, 2), false, false, true}, end_claim::broken},
                 {{unframed(stream, two), true}, end_claim::closed},
                 {{unframed(stream, half), true}, end_claim::broken},
                 {{unframed(stream, two), false, false, true}, end_claim::broken},
                 {{framed(head, 500'000, big)}, end_claim::complete},
                 {{framed(head, 500'001, big), true}, end_claim::broken},
                 {{unframed(head, big), true}, end_claim::closed},
                 {{unframed(head, big), false, false, true}, end_claim::broken},
             })
        {
            configure_both(relay::request_kind::stream);
            forget_upstreams();
            answer_once(answer);
            const raw_caller* caller = ask();
            const std::string which = answer.m_bytes.substr(head.size(), 120);
            // An instance's own refusal is whole.
            const bool is_refused = claim == end_claim::broken && caller->status() == 502;
            CPPUNIT_ASSERT_MESSAGE(which, caller->claim() == claim || is_refused);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(which, std::size_t{1},
                                         m_upstreams.back()->m_requests.size());
        }
    }

    void events_of_a_resumed_run_arrive_once()
    {
        configure_both(relay::request_kind::stream, 0, true);
        m_other_state->m_budget_settings = m_state->m_budget_settings;
        m_other_state->budget_of("s").on_request();
        answer_once({events(1, 2, "id: 3\nda"), true});
        answer_once({events(2, 4) + end_of_chunks});
        answer_once({events(2, 4) + end_of_chunks});
        const raw_caller* caller = ask();
        CPPUNIT_ASSERT_EQUAL(event_text(1, 4), caller->body());
        CPPUNIT_ASSERT(caller->claim() == end_claim::complete);
    }

    void taken_up_stream_is_told_by_the_plan_of_the_other_instance()
    {
        CPPUNIT_ASSERT_EQUAL(200U, status_of_take_up());
    }

    /// Its stream may have begun before the plan changed.
    void take_up_that_waited_at_a_stopped_instance_is_old()
    {
        CPPUNIT_ASSERT_EQUAL(503U, status_of_take_up(std::chrono::seconds(20)));
    }

    /// The other instance is told what is left of the route's time.
    void take_up_of_a_patient_caller_is_old()
    {
        CPPUNIT_ASSERT_EQUAL(503U, status_of_take_up({}, "30000"));
    }

    void take_up_where_callers_are_patient_is_old()
    {
        m_state->m_longest_deadlines["route"] = std::chrono::seconds(30);
        CPPUNIT_ASSERT_EQUAL(503U, status_of_take_up());
    }

    /// It does not tell how long it has held the request.
    void take_up_of_an_older_build_is_old()
    {
        configure_take_up();
        net::http_request message = take_up();
        message.set("Tarragontrail-Earlier-Runs", "0");
        m_port = m_peer_port;
        CPPUNIT_ASSERT_EQUAL(503U, send(message).m_response.result_int());
    }

private:
    static std::string event_text(int first, int last)
    {
        std::string text;
        for (int id = first; id <= last; ++id)
        {
            text += fmt::format("id: {}\ndata: t{}\n\n", id, id);
        }
        return text;
    }

    std::vector<std::unique_ptr<raw_caller>> m_callers; ///< Their reads outlive the cases.

    const raw_caller* ask()
    {
        cut_off();
        m_callers.push_back(std::make_unique<raw_caller>(
            m_loop.m_context, m_port,
            "POST /a/b HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r1\r\n"
            "X-Request-Deadline-Ms: 3000\r\nAuthorization: Token k\r\nContent-Length: 0\r\n\r\n"));
        const raw_caller* caller = m_callers.back().get();
        m_loop.run_until([caller] { return caller->is_over(); });
        return caller;
    }

    /// Forgets the upstreams that the other instance knows.
    void forget_upstreams()
    {
        const core::time_point now = core::runtime_clock::now();
        for (std::size_t i = 1; i <= m_upstreams.size(); ++i)
        {
            m_other_state->m_upstreams.remove(
                core::id_of<core::upstream_id>(fmt::format("far{}", i)), now);
        }
        m_other_state->m_upstreams.remove_departed({}, now);
    }

    void answer_once(const reply& wanted)
    {
        answer([wanted](const std::string&) { return wanted; });
    }

    static net::http_request take_up(const std::string& deadline = "3000")
    {
        net::http_request message = request();
        message.set("X-Request-Id", "r2");
        message.set("X-Request-Deadline-Ms", deadline);
        message.set("Resumes", "r1");
        message.set("Last-Event-Id", "2");
        return message;
    }

    /// All slots have moved to the only version that is left 15 s ago.
    void configure_take_up()
    {
        using namespace std::chrono_literals;
        configure_both(relay::request_kind::stream, 0, true);
        std::string rest = events(3, 4) + end_of_chunks;
        rest.replace(rest.find("r1"), 2, "r2");
        answer_once({rest});
        relay::upstream_record record =
            m_other_state->m_upstreams.find(core::id_of<core::upstream_id>(std::string("far1")))
                ->m_record;
        record.m_software = {"v2"};
        const core::time_point now = core::runtime_clock::now();
        m_other_state->m_upstreams.apply(record, now);
        constexpr relay::store_time store_now = 1'000s;
        relay::stream_versions& versions = m_other_state->m_stream_versions;
        versions.set_store_time(store_now, now);
        std::vector<relay::version_plan::assignment> assignments;
        for (std::uint64_t slot = 0; slot < relay::version_plan::slot_count; ++slot)
        {
            assignments.push_back({slot, {"v1"}, relay::store_time::zero()});
            assignments.push_back({slot, {"v2"}, store_now - 15s});
        }
        versions.set_plan("s", relay::version_plan(2, assignments), now);
        versions.on_contact(now);
        cut_off();
    }

    /// Of a take-up that an instance passes on after it has stood still.
    unsigned status_of_take_up(core::duration standstill = {}, const std::string& deadline = "3000")
    {
        configure_take_up();
        m_state->m_standstill.on_check(core::suspension_counting_now() - standstill);
        return send(take_up(deadline)).m_response.result_int();
    }

    std::unique_ptr<relay::relay_state> m_other_state;
    std::unique_ptr<relay::relay_service> m_other;
    std::uint16_t m_peer_port = 0; ///< Where the request is passed on to.
    int m_asked = 0;               ///< Times that an instance was asked for.

    void configure_both(relay::request_kind kind, std::uint64_t rate = 0, bool resumable = false)
    {
        configure(kind, resumable);
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
