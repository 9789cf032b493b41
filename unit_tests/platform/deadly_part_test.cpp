#include "platform/caller_codec.hpp"
#include "tarragontrail/relay/relay_service.hpp"
#include "unit_tests/platform/scripted_upstream.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using test::scripted_upstream;

/// Requests with one part in common crash each upstream that begins to answer them.
class deadly_part_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(deadly_part_test);
    CPPUNIT_TEST(requests_with_a_deadly_part_stop_reaching_upstreams);
    CPPUNIT_TEST(requests_with_its_other_parts_are_served);
    CPPUNIT_TEST(request_with_parts_waits_until_quarantines_are_known);
    CPPUNIT_TEST_SUITE_END();

    /// Crashes that suffice to find the part.
    static constexpr std::size_t max_crashes = 4;
    static constexpr std::size_t upstream_count = 12;

    test::loop_client m_loop;
    platform::caller_codec m_codec;
    std::unique_ptr<relay::relay_state> m_state;
    std::unique_ptr<relay::relay_service> m_relay;
    std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
    std::size_t m_crashes = 0;
    std::uint64_t m_requests = 0;

    /// Ends with its connections when a request has the part "dead", else streams one event.
    void add_upstream()
    {
        const std::size_t index = m_upstreams.size();
        m_upstreams.push_back(std::make_unique<scripted_upstream>(
            m_loop.m_context, [this, index](const std::string& head) {
                if (head.find("dead:") != std::string::npos)
                {
                    ++m_crashes;
                    m_upstreams[index]->stop();
                    return scripted_upstream::reply{"", true};
                }
                const std::size_t at = head.find("X-Request-Id: ") + 14;
                const std::string id = head.substr(at, head.find('\r', at) - at);
                const std::string event = "id: 1\ndata: t\n\n";
                return scripted_upstream::reply{
                    fmt::format("HTTP/1.1 200 X\r\nX-Request-Id: {}\r\nX-Response-Seal: s\r\n"
                                "Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{}",
                                id, event.size(), event)};
            }));
        relay::upstream_record record;
        record.m_name = fmt::format("u{}", m_upstreams.size());
        record.m_id = core::id_of<core::upstream_id>(record.m_name);
        record.m_service = "s";
        record.m_endpoint = net::make_endpoint("127.0.0.1", m_upstreams.back()->port());
        record.m_region = "r";
        record.m_failure_domain = "here";
        record.m_slots = 16;
        record.m_models = {{"m", placement::weights_version{1}}};
        m_state->m_upstreams.apply(record, core::runtime_clock::now());
    }

    void configure()
    {
        relay::relay_config config;
        config.m_version = 1;
        relay::route route;
        route.m_name = "route";
        route.m_host = "one.example";
        route.m_prefix = "/a/";
        route.m_kind = relay::request_kind::stream;
        route.m_resumable = true;
        route.m_timeout = 3000ms;
        route.m_target_latency = 600ms;
        route.m_max_attempts = 2;
        route.m_targets = {{"s", 1}};
        config.m_routes = {route};
        relay::service service;
        service.m_name = "s";
        config.m_services = {service};
        config.m_limits.m_body_bytes = 1'000'000;
        relay::workspace workspace;
        workspace.m_name = "w";
        workspace.m_keys = {"k"};
        config.m_workspaces = {workspace};
        m_state->m_routes = std::make_shared<const relay::route_table>(std::move(config));
        m_relay->apply_limits();
    }

    /// Status of one request; no two have the same last part or body.
    unsigned send(const std::string& shared_parts)
    {
        const std::uint64_t number = ++m_requests;
        net::http_request message = net::make_request(boost::beast::http::verb::post, "/a/b",
                                                      fmt::format("question {}", number));
        message.set("Host", "one.example");
        message.set("X-Request-Id", fmt::format("r{}", number));
        message.set("X-Request-Deadline-Ms", "3000");
        message.set("Authorization", "Token k");
        message.set("X-Model", "m");
        message.set("X-Token-Usage", "300,20");
        message.set("X-Prompt-Prefix", fmt::format("{},{:x}:200", shared_parts, 1000 + number));
        std::optional<net::http_client::fetch_result> result;
        net::call_settings settings;
        settings.m_fresh_connection = true;
        m_loop.m_client.fetch(
            net::make_endpoint("127.0.0.1", m_relay->port()), std::move(message), settings,
            [&result](const net::http_client::fetch_result& value) { result = value; });
        m_loop.run_until([&result] { return result.has_value(); });
        return result->m_ok ? result->m_response.result_int() : 0;
    }

public:
    void setUp() override
    {
        m_state = std::make_unique<relay::relay_state>(
            m_loop.m_context, m_codec, relay::upstream_selector_settings{},
            relay::locality{"here", "r"}, core::instance_id{1}, 1);
        m_state->m_budget_settings.m_burst = 100;
        m_state->m_budget_settings.m_ratio = 1.0;
        m_state->m_budget_settings.m_fleet_floor_per_second = 1'000;
        const net::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        m_relay =
            std::make_unique<relay::relay_service>(*m_state, any, relay::listener_bounds{100});
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            add_upstream();
        }
        configure();
    }

    void tearDown() override
    {
        m_loop.m_context.stop();
        m_upstreams.clear();
        m_relay.reset();
        m_state->m_sessions.clear();
        m_state.reset();
    }

    void requests_with_a_deadly_part_stop_reaching_upstreams()
    {
        CPPUNIT_ASSERT_EQUAL(200U, send("aa:50"));
        for (int i = 0; i < 10; ++i)
        {
            send("aa:50,dead:40");
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} upstreams crashed", m_crashes),
                               m_crashes <= max_crashes);
        const std::size_t before = m_crashes;
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(503U, send("aa:50,dead:40"));
        }
        CPPUNIT_ASSERT_EQUAL(before, m_crashes);
    }

    void request_with_parts_waits_until_quarantines_are_known()
    {
        m_state->m_quarantines_known = false;
        CPPUNIT_ASSERT_EQUAL(503U, send("aa:50,dead:40"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_crashes);
        m_state->m_quarantines_known = true;
        CPPUNIT_ASSERT_EQUAL(200U, send("aa:50"));
    }

    void requests_with_its_other_parts_are_served()
    {
        CPPUNIT_ASSERT_EQUAL(200U, send("aa:50,bb:40"));
        for (int i = 0; i < 5; ++i)
        {
            send("aa:50,dead:40");
            CPPUNIT_ASSERT_EQUAL(200U, send("aa:50,bb:40"));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(deadly_part_test, "platform");
