#pragma once

#include "tarragontrail/net/http_types.hpp"
#include "tarragontrail/net/memory_account.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace tarragontrail::net {

/// Bounds on what a client may send.
struct http_server_settings
{
    std::uint32_t m_header_limit_bytes = 16 * 1024;                    ///< Largest request head.
    std::uint64_t m_body_limit_bytes = std::uint64_t{8} * 1024 * 1024; ///< Largest request body.
    std::chrono::milliseconds m_read_timeout{10'000};       ///< Longest arrival of one request.
    std::chrono::milliseconds m_keep_alive_timeout{60'000}; ///< Longest idle time between requests.
    std::chrono::milliseconds m_write_timeout{
        20'000};                           ///< Longest wait for the client to take a piece.
    std::size_t m_connection_limit = 4096; ///< Most connections at once.
    std::size_t m_write_backlog_bytes =
        std::size_t{4} * 1024 * 1024; ///< Most unsent stream bytes kept.
    /// Bounds what the connections of this and other listeners hold; not replaced by an update.
    std::shared_ptr<memory_account> m_memory = memory_account::unlimited();
    /// Size of each connection's receive queue, of which the system allows twice as much; zero
    /// leaves it to the system. Not replaced by an update.
    int m_receive_buffer_bytes = 0;
};

/// Why the server answers a request itself.
enum class request_fault
{
    malformed,      ///< Not HTTP.
    head_too_large, ///< Head over its limit.
    body_too_large, ///< Body over its limit.
    too_slow,       ///< Not whole within the read timeout.
    unanswered,     ///< Its handler gave it up; it may have been executed.
    no_memory,      ///< The memory for clients is used up; it was not handed on.
};

/// Name of a fault in logs.
const char* to_string(request_fault fault) noexcept;

/// Why the server closed a connection.
enum class close_cause
{
    client_closed, ///< The client closed it, or it broke.
    idle_timeout,  ///< No request began within the keep-alive timeout.
    write_timeout, ///< The client took no piece within the write timeout.
    backlog_full,  ///< The client left too many bytes of a stream unread.
    aborted,       ///< The handler of the request dropped the connection.
    finished,      ///< The last response was sent.
    making_room,   ///< Its client kept it waiting for longest, and another one came.
    no_memory,     ///< The memory for clients is used up, and this one held most for longest.
};

/// Name of a cause in logs and metrics.
const char* to_string(close_cause cause) noexcept;

/// One request and the means to answer it; stays on the server's thread.
class http_exchange
{
public:
    /// Told why the connection closed before the response was complete.
    using close_handler = std::function<void(close_cause)>;

    virtual ~http_exchange() = default;

    /// The request; its body is whole.
    virtual const http_request& request() const = 0;

    /// Hands the request out, so that it is not held twice; request() is empty afterwards.
    virtual http_request take_request() = 0;

    /// Counts memory that the handler holds for the response; returns false, with what was counted
    /// before unchanged, when there is no room for it.
    virtual bool hold(std::size_t bytes) = 0;

    /// Sends a whole response; the last call on this exchange.
    virtual void respond(http_response response) = 0;

    /// Starts a chunked response; for a client that speaks HTTP/1.0, one that ends with its
    /// connection.
    virtual void begin_stream(http_response head) = 0;

    /// Starts a response whose end is the ordinary close of its connection. Any other end of the
    /// connection, that of this process included, resets it.
    virtual void begin_until_close(http_response head) = 0;

    /// Sends one piece of a response that was started.
    virtual void write(std::string_view piece) = 0;

    /// Ends a response that was started.
    virtual void end_stream() = 0;

    /// Drops the connection so that the client sees a broken response.
    virtual void abort() = 0;

    /// Calls `handler` once when the connection closes before the response is complete.
    virtual void on_client_gone(close_handler handler) = 0;

    /// Bytes of a response that the client has not taken yet.
    virtual std::size_t unsent_bytes() const = 0;
};

/// HTTP/1.1 listener on one event loop.
class http_server
{
public:
    using request_handler = std::function<void(std::shared_ptr<http_exchange>)>;
    using fault_handler = std::function<http_response(request_fault)>;

    /// Binds at once; throws boost::system::system_error when the port is taken.
    http_server(boost::asio::io_context& context, const tcp::endpoint& endpoint,
                const http_server_settings& settings, request_handler on_request,
                fault_handler on_fault);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Port in use, also when the endpoint asked for any.
    std::uint16_t port() const;

    /// Accepts nothing more; each connection closes after its current request.
    void stop_accepting();

    /// Keeps accepting, but asks each client to leave after its next response.
    void announce_leaving();

    /// Asks each client to leave after its next response whatever it has sent behind its request;
    /// what is unread by then stays so.
    void end_pipelines();

    /// Closes every open connection at once, whatever its request has come to.
    void abort_connections();

    /// Replaces the bounds; requests that have begun to arrive keep the earlier ones.
    void update(const http_server_settings& settings);

    /// Connections open now.
    std::size_t connection_count() const;

    /// Connections whose request is not answered, or whose response is not written whole.
    std::size_t busy_count() const;

    /// Whether a connection that is not busy holds bytes of a request, read or unread, or has bytes
    /// of a refusal to write. Looks at every connection.
    bool has_arrivals() const;

private:
    struct listener;
    std::shared_ptr<listener> m_listener; ///< Shared with its pending accept.
};

} // namespace tarragontrail::net
