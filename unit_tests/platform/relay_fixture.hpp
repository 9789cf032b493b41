#pragma once

#include "platform/caller_codec.hpp"
#include "tarragontrail/relay/relay_service.hpp"
#include "unit_tests/platform/scripted_upstream.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <cppunit/TestFixture.h>
#include <fmt/format.h>

namespace tarragontrail::test {

using reply = scripted_upstream::reply;

/// Whole answer of an upstream to the request r1.
inline std::string whole(const std::string& body, unsigned status = 200)
{
    return fmt::format("HTTP/1.1 {} X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       status, body.size(), body);
}

inline std::string rejection()
{
    return "HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Head of a stream, and events as one chunk.
inline std::string events(int from, int to, const std::string& rest = {})
{
    std::string text;
    for (int id = from; id <= to; ++id)
    {
        text += fmt::format("id: {}\ndata: t{}\n\n", id, id);
    }
    text += rest;
    return fmt::format("HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\nContent-Type: "
                       "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                       text.size(), text);
}

constexpr const char* end_of_chunks = "0\r\n\r\n";

/// Relay over loopback with scripted upstreams.
class relay_fixture : public CppUnit::TestFixture
{
public:
    void setUp() override { build(m_codec); }

    /// Makes the relay, with a codec that outlives it.
    void build(const relay::http_codec& codec)
    {
        m_relay.reset();
        m_state = std::make_unique<relay::relay_state>(
            m_loop.m_context, codec, relay::upstream_selector_settings{},
            relay::locality{"here", "r"}, core::instance_id{1}, 1);
        m_state->m_budget_settings.m_burst = 10;
        m_state->m_budget_settings.m_ratio = 1.0;
        m_state->m_budget_settings.m_fleet_floor_per_second = 1'000;
        const net::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        m_relay =
            std::make_unique<relay::relay_service>(*m_state, any, relay::listener_bounds{100});
        m_port = m_relay->port();
    }

    void tearDown() override
    {
        m_loop.m_context.stop();
        m_upstreams.clear();
        m_relay.reset();
        m_state->m_sessions.clear();
        m_state.reset();
    }

protected:
    test::loop_client m_loop;
    platform::caller_codec m_codec;
    std::unique_ptr<relay::relay_state> m_state;
    std::unique_ptr<relay::relay_service> m_relay;
    std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
    std::uint16_t m_port = 0;

    void add_upstream(const scripted_upstream::script& answer)
    {
        m_upstreams.push_back(std::make_unique<scripted_upstream>(m_loop.m_context, answer));
        register_upstream(fmt::format("u{}", m_upstreams.size()), m_upstreams.back()->port());
    }

    void register_upstream(const std::string& name, std::uint16_t port)
    {
        relay::upstream_record record;
        record.m_name = name;
        record.m_id = core::id_of<core::upstream_id>(record.m_name);
        record.m_service = "s";
        record.m_endpoint = net::make_endpoint("127.0.0.1", port);
        record.m_region = "r";
        // The second one is farther, so the first one is asked first.
        record.m_failure_domain = name == "u1" ? "here" : "there";
        record.m_slots = 16;
        m_state->m_upstreams.apply(record, core::runtime_clock::now());
    }

    void configure(relay::request_kind kind, bool resumable = false)
    {
        relay::relay_config config;
        config.m_version = 1;
        relay::route route;
        route.m_name = "route";
        route.m_host = "one.example";
        route.m_prefix = "/a/";
        route.m_kind = kind;
        route.m_timeout = std::chrono::milliseconds(900);
        route.m_target_latency = std::chrono::milliseconds(600);
        route.m_max_attempts = 2;
        route.m_resumable = resumable;
        route.m_targets = {{"s", 1}};
        config.m_routes = {route};
        relay::service service;
        service.m_name = "s";
        config.m_services = {service};
        config.m_limits.m_body_bytes = 32'000'000;
        relay::workspace workspace;
        workspace.m_name = "w";
        workspace.m_keys = {"k"};
        config.m_workspaces = {workspace};
        m_state->m_routes = std::make_shared<const relay::route_table>(std::move(config));
        m_relay->apply_limits();
    }

    static net::http_request request(const std::string& path = "/a/b", const std::string& key = "k")
    {
        net::http_request message =
            net::make_request(boost::beast::http::verb::post, path, "question");
        message.set("Host", "one.example");
        message.set("X-Request-Id", "r1");
        message.set("X-Request-Deadline-Ms", "3000");
        message.set("Authorization", "Token " + key);
        return message;
    }

    net::http_client::fetch_result send(net::http_request message)
    {
        std::optional<net::http_client::fetch_result> result;
        net::call_settings settings;
        settings.m_fresh_connection = true;
        m_loop.m_client.fetch(
            net::make_endpoint("127.0.0.1", m_port), std::move(message), settings,
            [&result](const net::http_client::fetch_result& value) { result = value; });
        m_loop.run_until([&result] { return result.has_value(); });
        return *result;
    }
};

} // namespace tarragontrail::test
