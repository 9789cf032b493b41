#pragma once

#include "tarragontrail/net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace tarragontrail::test {

/// Event loop with a client, run by hand from tests.
class loop_client
{
public:
    using verb = boost::beast::http::verb;

    boost::asio::io_context m_context;
    net::http_client m_client{m_context};

    net::http_client::fetch_result fetch(std::uint16_t port, verb method, const std::string& target,
                                         const std::string& body = {})
    {
        std::optional<net::http_client::fetch_result> result;
        m_client.fetch(net::make_endpoint("127.0.0.1", port),
                       net::make_request(method, target, body), {},
                       [&result](const net::http_client::fetch_result& value) { result = value; });
        run_until([&result] { return result.has_value(); });
        return *result;
    }

    nlohmann::json get(std::uint16_t port, const std::string& target)
    {
        return nlohmann::json::parse(fetch(port, verb::get, target).m_response.body());
    }

    void post(std::uint16_t port, const std::string& target, const nlohmann::json& body)
    {
        const auto result = fetch(port, verb::post, target, body.dump());
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        m_context.restart();
        while (!condition() && std::chrono::steady_clock::now() < give_up)
        {
            m_context.run_one_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT(condition());
    }
};

/// Keeps the bytes of a stream.
class stream_recorder : public net::call_listener
{
public:
    void on_head(const net::http_response& head, net::body_framing framing) override
    {
        m_status = head.result_int();
        m_framing = framing;
    }

    void on_body(std::string_view piece) override { m_bytes.append(piece); }
    void on_complete() override { m_ended = true; }
    void on_failed(const net::call_failure&) override { m_failed = true; }

    unsigned m_status = 0;
    net::body_framing m_framing = net::body_framing::length;
    std::string m_bytes;
    bool m_ended = false;
    bool m_failed = false;
};

} // namespace tarragontrail::test
