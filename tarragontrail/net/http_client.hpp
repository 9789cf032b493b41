#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/net/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace tarragontrail::net {

/// How far a failed call had come.
enum class call_stage
{
    connecting, ///< No byte of the request had been sent: it was not run.
    sending,    ///< Part or all of the request may have arrived.
    receiving,  ///< The response had begun.
};

/// Why a call failed.
enum class call_fault
{
    refused,   ///< The connection was not made.
    timed_out, ///< A deadline of the call passed.
    closed,    ///< The server closed the connection before the response was whole.
    reset,     ///< The connection broke.
    malformed, ///< The response is not HTTP.
    oversized, ///< The response exceeds a bound of the call.
    cancelled, ///< The caller of the call gave it up.
};

/// Failure of one call.
struct call_failure
{
    call_stage m_stage = call_stage::connecting; ///< How far the call had come.
    call_fault m_fault = call_fault::refused;    ///< What happened.
    bool m_reused_connection = false;            ///< The connection had served an earlier call.
};

/// How a response says where its body ends.
enum class body_framing
{
    length,      ///< It announces its length.
    chunks,      ///< It ends with a last chunk.
    until_close, ///< It ends with its connection, as does one that the server gives up.
};

/// Name of a framing in logs and metrics.
const char* to_string(body_framing framing) noexcept;

/// Text of a fault for logs.
const char* to_string(call_fault fault) noexcept;

/// Deadlines and bounds of one call.
struct call_settings
{
    std::chrono::milliseconds m_connect_timeout{1'000}; ///< Longest wait for a connection.
    std::chrono::milliseconds m_first_byte_timeout{
        30'000};                                      ///< Longest wait for the response's head.
    std::chrono::milliseconds m_idle_timeout{15'000}; ///< Longest silence within the response.
    std::optional<std::chrono::milliseconds>
        m_total_timeout; ///< Longest time from the request to the response's end.
    std::chrono::milliseconds m_reuse_limit{
        60'000}; ///< A connection that was idle for longer is not used again.
    std::uint64_t m_body_limit_bytes = std::uint64_t{64} * 1024 * 1024; ///< Largest response body.
    std::uint32_t m_head_limit_bytes =
        std::uint32_t{8} * 1024; ///< Largest head with its interim ones, and largest line between
                                 ///< chunks or trailer.
    std::uint64_t m_skip_limit = 4; ///< Most responses that are skipped.
    std::uint64_t m_skip_limit_bytes =
        std::uint64_t{64} * 1024; ///< Most body bytes that are read of skipped responses.
    std::chrono::milliseconds m_skip_timeout{250}; ///< Longest wait for the end of each.
    bool m_fresh_connection = false; ///< Never use a connection that served an earlier call.
};

/// Receives the course of one call, on the client's thread.
class call_listener
{
public:
    virtual ~call_listener() = default;

    /// The response's head has arrived.
    virtual void on_head(const http_response& head, body_framing framing) = 0;

    /// A piece of the response's body has arrived.
    virtual void on_body(std::string_view piece) = 0;

    /// The response is whole; the last event of the call.
    virtual void on_complete() = 0;

    /// The call failed; the last event of the call.
    virtual void on_failed(const call_failure& failure) = 0;
};

/// What the connection of a call has served.
struct connection_use
{
    core::duration m_age{};       ///< Since it was opened; zero when the call has none.
    std::uint64_t m_requests = 0; ///< Sent on it, that of the call included.
};

/// A call under way.
class http_call
{
public:
    virtual ~http_call() = default;

    /// What the connection has served so far.
    virtual connection_use use() const = 0;

    /// Gives the call up: closes its connection and sends no more events.
    virtual void cancel() = 0;

    /// Reads on to the next response on the connection, whose head is the next event: this one,
    /// whose head has just arrived, answers an earlier request. False when there can be none: no
    /// earlier request was sent on the connection, nothing tells where this response ends, or too
    /// many were skipped. The connection is not used again.
    virtual bool skip_response() = 0;
};

/// HTTP/1.1 client with kept-alive connections per endpoint, on one event loop.
class http_client
{
public:
    /// `idle_limit` is the most idle connections kept per endpoint.
    explicit http_client(boost::asio::io_context& context, std::size_t idle_limit = 16);

    /// Size of the receive queue of connections that are opened from now on, of which the system
    /// allows twice as much; zero leaves it to the system.
    void set_receive_buffer(int bytes);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call; the listener is kept until its last event.
    std::shared_ptr<http_call> start(const tcp::endpoint& endpoint, http_request request,
                                     const call_settings& settings,
                                     std::shared_ptr<call_listener> listener);

    /// Result of `fetch`: a whole response or the failure.
    struct fetch_result
    {
        bool m_ok = false;                             ///< A whole response has arrived.
        http_response m_response;                      ///< Valid when m_ok is true.
        body_framing m_framing = body_framing::length; ///< Same; how the response marked its end.
        call_failure m_failure;                        ///< Valid when m_ok is false.
    };

    /// Starts a call whose response is gathered whole.
    std::shared_ptr<http_call> fetch(const tcp::endpoint& endpoint, http_request request,
                                     const call_settings& settings,
                                     std::function<void(fetch_result)> on_result);

    /// Closes every idle connection to an endpoint.
    void forget(const tcp::endpoint& endpoint);

    /// Connections opened since the start.
    std::uint64_t opened_count() const noexcept;

private:
    struct pool;
    std::shared_ptr<pool> m_pool; ///< Idle connections, shared with calls under way.
};

/// Request with the given method, target and body; sets Host and, for a body, its type as JSON.
http_request make_request(boost::beast::http::verb method, std::string_view target,
                          std::string body = {});

} // namespace tarragontrail::net
