#include "tarragontrail/net/http_server.hpp"

#include "tarragontrail/net/request_reader.hpp"
#include "tarragontrail/net/socket_options.hpp"
#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

namespace tarragontrail::net {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

class server_connection;

} // namespace

/// State that all connections of one listener share.
struct server_shared
{
    http_server_settings m_settings;            ///< Bounds.
    http_server::request_handler m_on_request;  ///< Receives whole requests.
    http_server::fault_handler m_on_fault;      ///< Words the refusal of a bad request.
    bool m_stopping = false;                    ///< No request after the current one.
    bool m_ends_pipelines = false;              ///< Not even one that has arrived already.
    bool m_is_server_gone = false;              ///< The handlers must not be called any more.
    std::set<server_connection*> m_connections; ///< Open connections.
    std::size_t m_busy = 0; ///< Connections with a request or a response under way.
    /// Room for one read of any connection.
    std::unique_ptr<char[]> m_input = std::make_unique_for_overwrite<char[]>(input_bytes);

    static constexpr std::size_t input_bytes = std::size_t{64} * 1024;
};

namespace {

/// Whether every server on the way reads the same request. With an ambiguous end of its body a
/// second request could hide inside it.
bool is_unambiguous(const http_request& request)
{
    return request.count(http::field::host) <= 1 &&
           is_framing_unambiguous(request, request.version());
}

/// Memory of a connection that holds nothing for its client.
constexpr std::size_t connection_bytes = 4'096;

/// Copies of a request while it is handled: that of its handler, and the one that is being sent on.
constexpr std::size_t handled_copies = 2;

/// Memory of a handled request beside that: its handler, and the call that sends it on.
constexpr std::size_t handler_bytes = std::size_t{32} * 1024;

std::size_t memory_of(const http_request& request)
{
    return handler_bytes + handled_copies * (request.body().capacity() + memory_of_fields(request));
}

/// One accepted connection.
class server_connection : public std::enable_shared_from_this<server_connection>,
                          private memory_holder
{
public:
    server_connection(tcp::socket socket, std::shared_ptr<server_shared> shared)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_shared(std::move(shared)), m_claim(m_shared->m_settings.m_memory, this)
    {
        m_shared->m_connections.insert(this);
        prepare_socket(m_socket);
        error_code ignored;
        m_socket.non_blocking(true, ignored);
    }

    ~server_connection() override
    {
        // The destructor of a socket closes in the ordinary way, whatever was set for its close.
        error_code ignored;
        m_socket.close(ignored);
        set_busy(false);
        m_shared->m_connections.erase(this);
    }

    /// Brings the claim up to date; returns false when there is no room for what is held.
    bool claim_held_memory()
    {
        return m_claim.resize(connection_bytes + m_reader.held_bytes() + m_pending.capacity() +
                              m_in_flight.capacity());
    }

    void read_request()
    {
        m_reading = true;
        if (m_reader.unread_bytes() == 0)
        {
            wait_for_request();
            return;
        }
        begin_request();
        read_on();
    }

    /// Whether a request's response is under way; `number` counts the connection's requests.
    bool is_current(std::uint64_t number) const noexcept
    {
        return m_is_busy && m_requests == number;
    }

    void respond(http_response response)
    {
        if (m_answered)
        {
            return;
        }
        m_answered = true;
        finish_head(response);
        response.prepare_payload();
        std::ostringstream text;
        text << response;
        m_complete = true;
        enqueue(text.str());
    }

    std::size_t unsent_bytes() const noexcept { return m_backlog_bytes; }

    void begin_stream(http_response head)
    {
        if (m_answered)
        {
            return;
        }
        if (!m_client_reads_chunks)
        {
            begin_until_close(std::move(head));
            return;
        }
        m_answered = true;
        finish_head(head);
        head.chunked(true);
        std::ostringstream text;
        text << head.base();
        enqueue(text.str());
    }

    void begin_until_close(http_response head)
    {
        if (m_answered)
        {
            return;
        }
        m_answered = true;
        m_until_close = true;
        m_keep_alive = false;
        set_reset_on_close(true);
        finish_head(head);
        std::ostringstream text;
        text << head.base();
        enqueue(text.str());
    }

    void write(std::string_view piece)
    {
        if (piece.empty() || m_complete)
        {
            return;
        }
        if (m_backlog_bytes > m_shared->m_settings.m_write_backlog_bytes)
        {
            drop(close_cause::backlog_full);
            return;
        }
        if (m_until_close)
        {
            enqueue(piece);
            return;
        }
        enqueue(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
    }

    void end_stream()
    {
        if (m_complete)
        {
            return;
        }
        m_complete = true;
        if (!m_until_close)
        {
            enqueue("0\r\n\r\n");
        }
        else if (!m_writing && m_socket.is_open())
        {
            on_response_sent();
        }
    }

    void abort() { drop(close_cause::aborted); }

    /// Whether bytes of a request that is not handed on have been read or can be, or those of a
    /// refusal are to be written.
    bool has_arrival() const
    {
        if (m_is_busy || !m_socket.is_open())
        {
            return false;
        }
        return m_writing || m_has_begun || can_read();
    }

    /// Since when the connection may be closed for another one, as it waits for its client: for a
    /// request, or to close; or, for a while, for the rest of a request or to take a response.
    /// Nothing while a request is handled.
    std::optional<core::time_point> waits_since() const
    {
        if (!m_socket.is_open())
        {
            return std::nullopt;
        }
        if (m_reading && !m_has_begun)
        {
            return m_idle_since;
        }
        const core::time_point start = m_claim.start();
        const bool is_stalled =
            may_release_memory() && core::runtime_clock::now() - start >= stalled_after;
        return m_is_lingering || is_stalled ? std::make_optional(start) : std::nullopt;
    }

    /// Closes the connection for another one; not when the request that it waits for has arrived.
    bool make_room()
    {
        if (m_reading && !m_has_begun && can_read())
        {
            return false;
        }
        close(close_cause::making_room);
        return true;
    }

    void on_client_gone(http_exchange::close_handler handler) { m_on_gone = std::move(handler); }

    /// A client may use an idle connection for as long as the longest limit since its last answer.
    void on_limits_changed()
    {
        if (m_idle && m_shared->m_settings.m_keep_alive_timeout > m_idle_limit)
        {
            arm_idle_timer();
        }
    }

    /// The handler of the current request is gone and cannot answer it any more, so the server
    /// does; a response that has begun is broken off.
    void on_abandoned() noexcept
    {
        if (m_complete)
        {
            return;
        }
        try
        {
            observe::log("request_abandoned", {{"requests", m_requests}, {"answered", m_answered}});
            if (m_answered || m_shared->m_is_server_gone)
            {
                drop(close_cause::aborted);
                return;
            }
            respond(m_shared->m_on_fault(request_fault::unanswered));
        }
        catch (const std::exception& failure)
        {
            observe::log("abandoned_request_unanswered", {{"reason", failure.what()}});
        }
    }

private:
    /// Waits for the first byte of a request; a new connection has less time for it than a kept
    /// one.
    void wait_for_request()
    {
        m_idle_since = core::runtime_clock::now();
        if (m_requests == 0)
        {
            arm_timer(m_shared->m_settings.m_read_timeout, &server_connection::on_read_timeout);
        }
        else
        {
            m_idle = true;
            arm_idle_timer();
        }
        wait_for_bytes(&server_connection::on_first_bytes);
    }

    /// Calls a handler once bytes can be read, unless the request is over by then.
    void wait_for_bytes(void (server_connection::*on_readable)())
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), wait = ++m_wait,
                                                     on_readable](error_code error) {
            if (!self->m_reading || self->m_wait != wait)
            {
                return;
            }
            if (error)
            {
                self->on_read_error();
                return;
            }
            (self.get()->*on_readable)();
        });
    }

    void on_first_bytes()
    {
        m_idle = false;
        begin_request();
        receive();
    }

    /// The limits of a request are those in force at its first byte.
    void begin_request()
    {
        m_has_begun = true;
        m_claim.set_start(core::runtime_clock::now());
        const http_server_settings& bounds = m_shared->m_settings;
        m_reader.begin({bounds.m_header_limit_bytes, bounds.m_body_limit_bytes});
        arm_timer(bounds.m_read_timeout, &server_connection::on_read_timeout);
    }

    /// Takes what the client has sent of the current request.
    void receive()
    {
        error_code error;
        const std::size_t size = m_socket.receive(
            boost::asio::buffer(m_shared->m_input.get(),
                                std::min(server_shared::input_bytes, m_reader.wanted_bytes())),
            0, error);
        if (error == boost::asio::error::would_block)
        {
            wait_for_bytes(&server_connection::receive);
            return;
        }
        if (error)
        {
            on_read_error();
            return;
        }
        m_reader.add({m_shared->m_input.get(), size});
        read_on();
    }

    void read_on()
    {
        switch (m_reader.read_on())
        {
        case request_reader::progress::head:
            if (on_head())
            {
                read_on();
            }
            return;
        case request_reader::progress::incomplete:
            if (!claim_held_memory())
            {
                refuse(request_fault::no_memory);
                return;
            }
            wait_for_bytes(&server_connection::receive);
            return;
        case request_reader::progress::whole:
            on_request();
            return;
        case request_reader::progress::head_too_large:
            refuse(request_fault::head_too_large);
            return;
        case request_reader::progress::body_too_large:
            refuse(request_fault::body_too_large);
            return;
        case request_reader::progress::malformed:
            refuse(request_fault::malformed);
            return;
        }
    }

    /// Whether the request may go on.
    bool on_head()
    {
        if (!is_unambiguous(m_reader.head()))
        {
            refuse(request_fault::malformed);
            return false;
        }
        arm_timer(m_shared->m_settings.m_read_timeout, &server_connection::on_read_timeout);
        if (m_reader.head()[boost::beast::http::field::expect] == "100-continue")
        {
            enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        }
        // Without room for it the connection is dropped.
        return m_socket.is_open();
    }

    void on_request();

    void on_read_error()
    {
        m_timer.cancel();
        close(close_cause::client_closed);
    }

    void refuse(request_fault fault)
    {
        const http_server_settings& bounds = m_shared->m_settings;
        observe::log("request_not_taken", {{"fault", to_string(fault)},
                                           {"requests", m_requests},
                                           {"head_limit", bounds.m_header_limit_bytes},
                                           {"body_limit", bounds.m_body_limit_bytes},
                                           {"read_timeout_ms", bounds.m_read_timeout.count()},
                                           {"timer_late_ms", m_timer_lateness.count()}});
        m_timer.cancel();
        m_reading = false;
        m_has_begun = false;
        m_reader.clear();
        m_keep_alive = false;
        m_answered = false;
        m_complete = false;
        respond(m_shared->m_on_fault(fault));
    }

    /// Whether bytes of a request behind the current one have arrived.
    bool has_next_request() const { return m_reader.unread_bytes() > 0 || can_read(); }

    void finish_head(http_response& response)
    {
        response.version(11);
        if (m_shared->m_ends_pipelines || (m_shared->m_stopping && !has_next_request()))
        {
            m_keep_alive = false;
        }
        response.keep_alive(m_keep_alive);
    }

    /// Each deadline has a handler of its own, so that none has to guess what it was set for.
    void arm_timer(core::duration timeout, void (server_connection::*on_expiry)())
    {
        const core::time_point due = core::runtime_clock::now() + timeout;
        m_due = due;
        m_timer.run_at(due, [weak = weak_from_this(), due, on_expiry] {
            if (const auto self = weak.lock())
            {
                self->m_timer_lateness = std::chrono::duration_cast<std::chrono::milliseconds>(
                    core::runtime_clock::now() - due);
                (self.get()->*on_expiry)();
            }
        });
    }

    void arm_idle_timer()
    {
        m_idle_limit = m_shared->m_settings.m_keep_alive_timeout;
        const core::duration passed = core::runtime_clock::now() - m_idle_since;
        arm_timer(m_idle_limit - passed, &server_connection::on_idle_timeout);
    }

    void on_idle_timeout()
    {
        if (can_read())
        {
            // A request has arrived, and the handler that reads it is due.
            return;
        }
        observe::log("idle_connection_closed", {{"requests", m_requests},
                                                {"limit_ms", m_idle_limit.count()},
                                                {"timer_late_ms", m_timer_lateness.count()}});
        close(close_cause::idle_timeout);
    }

    /// Bytes that arrived in time may end the request although this process is late to read them.
    void on_read_timeout()
    {
        const core::time_point due = m_due;
        for (std::size_t i = 0; i < late_reads && can_read(); ++i)
        {
            if (m_has_begun)
            {
                receive();
            }
            else
            {
                on_first_bytes();
            }
            if (!m_reading || m_due != due)
            {
                return;
            }
        }
        refuse(request_fault::too_slow);
    }

    bool can_read() const
    {
        error_code ignored;
        return m_socket.available(ignored) > 0;
    }

    void on_write_timeout() { drop(close_cause::write_timeout); }

    void on_linger_timeout() { close(close_cause::finished); }

    /// A readable socket with nothing to read means that the client closed it. What it sends
    /// before is kept for the next request, so that the end behind it is seen.
    void watch_for_close()
    {
        if (m_reader.unread_bytes() >= read_ahead_limit_bytes)
        {
            return;
        }
        m_socket.async_wait(tcp::socket::wait_read, [weak = weak_from_this()](error_code error) {
            const auto self = weak.lock();
            if (!error && self)
            {
                self->on_readable();
            }
        });
    }

    void on_readable()
    {
        if (m_reading || !m_socket.is_open())
        {
            return;
        }
        error_code error;
        const std::size_t size = m_socket.receive(
            boost::asio::buffer(m_shared->m_input.get(), read_ahead_limit_bytes), 0, error);
        m_reader.add({m_shared->m_input.get(), size});
        const bool has_room = claim_held_memory();
        if (error && error != boost::asio::error::would_block)
        {
            close(close_cause::client_closed);
            return;
        }
        if (has_room)
        {
            watch_for_close();
        }
    }

    /// A request that is arriving was not handed on, and a response is the client's to take.
    bool may_release_memory() const override
    {
        return m_socket.is_open() && ((m_reading && m_has_begun) || (m_answered && m_writing));
    }

    void release_memory() override
    {
        if (m_reading)
        {
            refuse(request_fault::no_memory);
            return;
        }
        // The write under way ends with the socket and tells the handler.
        m_close_cause = close_cause::no_memory;
        error_code ignored;
        m_socket.close(ignored);
        std::string().swap(m_pending);
        m_pending_begin = 0;
        m_claim.resize(0);
    }

    void enqueue(std::string_view bytes)
    {
        if (!m_socket.is_open())
        {
            return;
        }
        m_backlog_bytes += bytes.size();
        m_pending += bytes;
        if (!claim_held_memory())
        {
            drop(close_cause::no_memory);
            return;
        }
        if (!m_writing)
        {
            write_pending();
        }
    }

    /// Bytes that wait are written in slices, so that they can be dropped while one is written. The
    /// client has the write timeout for all that wait when the first one is.
    void write_pending()
    {
        m_writing = true;
        if (m_batch_bytes == 0)
        {
            m_batch_bytes = m_pending.size() - m_pending_begin;
            if (!m_reading)
            {
                m_claim.set_start(core::runtime_clock::now());
                arm_timer(m_shared->m_settings.m_write_timeout,
                          &server_connection::on_write_timeout);
            }
        }
        take_slice();
        m_batch_bytes -= std::min(m_batch_bytes, m_in_flight.size());
        boost::asio::async_write(m_socket, boost::asio::buffer(m_in_flight),
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     self->on_written(error);
                                 });
    }

    void take_slice()
    {
        if (m_pending_begin == 0 && m_pending.size() <= slice_bytes)
        {
            m_in_flight.clear();
            m_in_flight.swap(m_pending);
            return;
        }
        m_in_flight.assign(m_pending, m_pending_begin, slice_bytes);
        m_pending_begin += m_in_flight.size();
        if (m_pending_begin >= m_pending.size() / 2)
        {
            m_pending.erase(0, m_pending_begin);
            m_pending.shrink_to_fit();
            m_pending_begin = 0;
        }
    }

    void on_written(error_code error)
    {
        m_writing = false;
        m_backlog_bytes -= std::min(m_backlog_bytes, m_in_flight.size());
        if (!m_reading && m_batch_bytes == 0)
        {
            m_timer.cancel();
        }
        if (error)
        {
            close(m_close_cause);
            return;
        }
        if (m_pending.size() > m_pending_begin)
        {
            write_pending();
            return;
        }
        release_spare_memory();
        if (m_complete && !m_reading)
        {
            on_response_sent();
        }
    }

    /// Gives back the room of a response that was longer than most.
    void release_spare_memory()
    {
        m_in_flight.clear();
        for (std::string* each : {&m_pending, &m_in_flight})
        {
            if (each->capacity() > kept_buffer_bytes)
            {
                // An assignment would keep the room.
                std::string().swap(*each);
            }
        }
        claim_held_memory();
    }

    void on_response_sent()
    {
        m_on_gone = nullptr;
        set_busy(false);
        if (!m_keep_alive)
        {
            if (m_until_close)
            {
                set_reset_on_close(false);
            }
            // Only our side closes first, so that the client reads the whole answer.
            m_is_lingering = true;
            m_claim.set_start(core::runtime_clock::now());
            m_reader.clear();
            error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            arm_timer(linger_timeout, &server_connection::on_linger_timeout);
            discard_input();
            return;
        }
        error_code ignored;
        m_socket.cancel(ignored);
        read_request();
    }

    /// Reads until the client closes or the linger timeout is over, however much the client sends.
    void discard_input()
    {
        m_socket.async_read_some(
            boost::asio::buffer(m_shared->m_input.get(), server_shared::input_bytes),
            [self = shared_from_this()](error_code error, std::size_t) {
                if (error)
                {
                    self->close(close_cause::finished);
                    return;
                }
                self->discard_input();
            });
    }

    /// Closes the connection before its response is complete.
    void drop(close_cause cause)
    {
        m_keep_alive = false;
        close(cause);
        m_complete = true;
    }

    void close(close_cause cause)
    {
        m_timer.cancel();
        // The request's own last line tells of a client that left.
        if (m_socket.is_open() && m_is_busy && cause != close_cause::client_closed)
        {
            observe::log("connection_cut", {{"cause", to_string(cause)},
                                            {"requests", m_requests},
                                            {"answered", m_answered},
                                            {"complete", m_complete},
                                            {"unsent_bytes", m_backlog_bytes},
                                            {"timer_late_ms", m_timer_lateness.count()}});
        }
        set_busy(false);
        error_code ignored;
        m_socket.close(ignored);
        m_reader.clear();
        m_claim.resize(0);
        const auto handler = std::exchange(m_on_gone, nullptr);
        if (handler)
        {
            handler(cause);
        }
    }

    /// Sets whether a close resets the connection, so that the client sees no ordinary end.
    void set_reset_on_close(bool reset)
    {
        error_code error;
        m_socket.set_option(tcp::socket::linger(reset, 0), error);
        if (error)
        {
            observe::log("socket_option_failed",
                         {{"option", "linger"}, {"reason", error.message()}});
        }
    }

    void set_busy(bool busy)
    {
        if (m_is_busy == busy)
        {
            return;
        }
        m_is_busy = busy;
        m_shared->m_busy += busy ? 1 : -1;
    }

    static constexpr std::chrono::milliseconds linger_timeout{500};

    /// Most bytes that are written at once.
    static constexpr std::size_t slice_bytes = std::size_t{64} * 1024;

    /// Largest empty buffer that is kept for the next response.
    static constexpr std::size_t kept_buffer_bytes = std::size_t{4} * 1024;

    /// Time after which a client counts as stalled that sends or takes no more, or too slowly.
    static constexpr std::chrono::milliseconds stalled_after{2'000};

    /// Reads of bytes that had arrived when the read deadline passed.
    static constexpr std::size_t late_reads = 16;

    /// Bytes of the next request from which on no more is read while one is under way.
    static constexpr std::size_t read_ahead_limit_bytes = std::size_t{16} * 1024;

    tcp::socket m_socket;                         ///< Connection to the client.
    timer m_timer;                                ///< Read, write or idle deadline.
    std::shared_ptr<server_shared> m_shared;      ///< Settings and handlers.
    memory_claim m_claim;                         ///< What this connection holds.
    request_reader m_reader;                      ///< Requests and the bytes behind them.
    std::uint64_t m_wait = 0;                     ///< Number of the latest wait for bytes.
    http_exchange::close_handler m_on_gone;       ///< Told when the connection closes too soon.
    std::string m_pending;                        ///< Bytes to write next.
    std::size_t m_pending_begin = 0;              ///< Those before were written.
    std::size_t m_batch_bytes = 0;                ///< Bytes to write within the write timeout.
    std::string m_in_flight;                      ///< Bytes being written.
    std::size_t m_backlog_bytes = 0;              ///< Unsent bytes.
    core::time_point m_due{};                     ///< Latest deadline that was set.
    std::chrono::milliseconds m_timer_lateness{}; ///< Of the last deadline that passed.
    std::uint64_t m_requests = 0;                 ///< Requests taken on this connection.
    core::time_point m_idle_since{};              ///< Start of the wait for the next request.
    std::chrono::milliseconds m_idle_limit{};     ///< Longest wait since then.
    bool m_idle = false;                          ///< No byte of the next request has arrived.
    bool m_is_busy = false;                       ///< A request or its response is under way.
    bool m_reading = false;                       ///< A request is arriving.
    bool m_has_begun = false;                     ///< Its first byte has arrived.
    bool m_writing = false;                       ///< A write is pending.
    bool m_is_lingering = false;                  ///< The last response was sent.
    bool m_keep_alive = false;                    ///< Connection serves another request.
    bool m_client_reads_chunks = true;            ///< False for HTTP/1.0.
    bool m_answered = false;                      ///< Response has begun.
    bool m_until_close = false;                   ///< The end of the connection ends the response.
    bool m_complete = false;                      ///< Response is whole.
    close_cause m_close_cause = close_cause::client_closed; ///< Why a write was ended.
};

/// One request of a connection. Calls that come when its response is over do nothing, as the
/// connection serves another request by then.
class server_exchange : public http_exchange
{
public:
    server_exchange(std::shared_ptr<server_connection> connection, std::uint64_t number,
                    http_request request, std::unique_ptr<memory_claim> claim)
        : m_connection(std::move(connection)), m_number(number), m_request(std::move(request)),
          m_claim(std::move(claim))
    {}

    ~server_exchange() override
    {
        if (is_current())
        {
            m_connection->on_abandoned();
        }
    }
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    const http_request& request() const override { return m_request; }

    http_request take_request() override { return std::move(m_request); }

    bool hold(std::size_t bytes) override
    {
        if (!m_claim->resize(m_claim->bytes() - m_held_bytes + bytes))
        {
            return false;
        }
        m_held_bytes = bytes;
        return true;
    }

    void respond(http_response response) override
    {
        if (is_current())
        {
            m_connection->respond(std::move(response));
        }
    }

    void begin_stream(http_response head) override
    {
        if (is_current())
        {
            m_connection->begin_stream(std::move(head));
        }
    }

    void begin_until_close(http_response head) override
    {
        if (is_current())
        {
            m_connection->begin_until_close(std::move(head));
        }
    }

    void write(std::string_view piece) override
    {
        if (is_current())
        {
            m_connection->write(piece);
        }
    }

    void end_stream() override
    {
        if (is_current())
        {
            m_connection->end_stream();
        }
    }

    void abort() override
    {
        if (is_current())
        {
            m_connection->abort();
        }
    }

    void on_client_gone(close_handler handler) override
    {
        if (is_current())
        {
            m_connection->on_client_gone(std::move(handler));
        }
    }

    std::size_t unsent_bytes() const override
    {
        return is_current() ? m_connection->unsent_bytes() : 0;
    }

private:
    bool is_current() const noexcept { return m_connection->is_current(m_number); }

    std::shared_ptr<server_connection> m_connection; ///< Kept open while a request is handled.
    std::uint64_t m_number;                          ///< Count of the connection's requests.
    http_request m_request;                          ///< Request.
    std::unique_ptr<memory_claim> m_claim;           ///< For the request while it is handled.
    std::size_t m_held_bytes = 0;                    ///< Part of it that the handler asked for.
};

void server_connection::on_request()
{
    m_reading = false;
    m_has_begun = false;
    m_timer.cancel();
    http_request request = m_reader.take();
    m_reader.release_spare_memory();
    auto claim = std::make_unique<memory_claim>(m_shared->m_settings.m_memory);
    claim->set_start(m_claim.start());
    claim_held_memory();
    if (!claim->resize(memory_of(request)))
    {
        refuse(request_fault::no_memory);
        return;
    }
    ++m_requests;
    m_keep_alive = request.keep_alive();
    m_client_reads_chunks = request.version() >= 11;
    m_answered = false;
    m_complete = false;
    m_on_gone = nullptr;
    set_busy(true);
    watch_for_close();
    m_shared->m_on_request(std::make_shared<server_exchange>(shared_from_this(), m_requests,
                                                             std::move(request), std::move(claim)));
}

} // namespace

/// Accepts connections until told to stop.
struct http_server::listener : std::enable_shared_from_this<http_server::listener>
{
    listener(boost::asio::io_context& context, const tcp::endpoint& endpoint,
             int receive_buffer_bytes)
        : m_acceptor(context), m_retry_timer(context), m_shared(std::make_shared<server_shared>())
    {
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        if (receive_buffer_bytes > 0)
        {
            // Connections inherit it.
            m_acceptor.set_option(
                boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        }
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !self->m_acceptor.is_open())
            {
                return;
            }
            if (error)
            {
                observe::log("accept_failed", {{"reason", error.message()}});
                self->accept_later();
                return;
            }
            self->take(std::move(socket));
            self->accept();
        });
    }

    /// A connection that cannot be accepted stays in the queue, so a try at once fails as well.
    void accept_later()
    {
        m_retry_timer.run_after(accept_retry_delay, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->m_acceptor.is_open())
            {
                self->accept();
            }
        });
    }

    void take(tcp::socket socket)
    {
        if (m_shared->m_connections.size() >= m_shared->m_settings.m_connection_limit &&
            !close_longest_waiting())
        {
            observe::log("connection_refused", {{"reason", "connection_limit"}});
            return;
        }
        const auto connection = std::make_shared<server_connection>(std::move(socket), m_shared);
        if (!connection->claim_held_memory())
        {
            observe::log("connection_refused", {{"reason", "no_memory"}});
            return;
        }
        connection->read_request();
    }

    /// Clients that keep connections without using them do not keep out others.
    bool close_longest_waiting() const
    {
        server_connection* longest = nullptr;
        std::optional<core::time_point> since;
        for (server_connection* each : m_shared->m_connections)
        {
            const auto waits_since = each->waits_since();
            if (waits_since && (!since || *waits_since < *since))
            {
                longest = each;
                since = waits_since;
            }
        }
        return longest != nullptr && longest->make_room();
    }

    static constexpr std::chrono::milliseconds accept_retry_delay{100};

    tcp::acceptor m_acceptor;                ///< Listening socket.
    timer m_retry_timer;                     ///< Next accept after one that failed.
    std::shared_ptr<server_shared> m_shared; ///< Settings and handlers.
};

http_server::http_server(boost::asio::io_context& context, const tcp::endpoint& endpoint,
                         const http_server_settings& settings, request_handler on_request,
                         fault_handler on_fault)
    : m_listener(std::make_shared<listener>(context, endpoint, settings.m_receive_buffer_bytes))
{
    m_listener->m_shared->m_settings = settings;
    m_listener->m_shared->m_on_request = std::move(on_request);
    m_listener->m_shared->m_on_fault = std::move(on_fault);
    m_listener->accept();
}

http_server::~http_server()
{
    stop_accepting();
    m_listener->m_shared->m_is_server_gone = true;
}

std::uint16_t http_server::port() const
{
    return m_listener->m_acceptor.local_endpoint().port();
}

void http_server::stop_accepting()
{
    m_listener->m_shared->m_stopping = true;
    error_code ignored;
    m_listener->m_acceptor.close(ignored);
}

void http_server::announce_leaving()
{
    m_listener->m_shared->m_stopping = true;
}

void http_server::end_pipelines()
{
    m_listener->m_shared->m_ends_pipelines = true;
}

bool http_server::has_arrivals() const
{
    const auto& connections = m_listener->m_shared->m_connections;
    return std::any_of(connections.begin(), connections.end(),
                       [](const server_connection* each) { return each->has_arrival(); });
}

void http_server::abort_connections()
{
    std::vector<std::shared_ptr<server_connection>> open;
    for (server_connection* connection : m_listener->m_shared->m_connections)
    {
        open.push_back(connection->shared_from_this());
    }
    for (const auto& connection : open)
    {
        connection->abort();
    }
}

void http_server::update(const http_server_settings& settings)
{
    m_listener->m_shared->m_settings = settings;
    for (server_connection* connection : m_listener->m_shared->m_connections)
    {
        connection->on_limits_changed();
    }
}

std::size_t http_server::connection_count() const
{
    return m_listener->m_shared->m_connections.size();
}

std::size_t http_server::busy_count() const
{
    return m_listener->m_shared->m_busy;
}

const char* to_string(request_fault fault) noexcept
{
    switch (fault)
    {
    case request_fault::malformed:
        return "malformed";
    case request_fault::head_too_large:
        return "head_too_large";
    case request_fault::body_too_large:
        return "body_too_large";
    case request_fault::too_slow:
        return "too_slow";
    case request_fault::unanswered:
        return "unanswered";
    case request_fault::no_memory:
        return "no_memory";
    }
    return "unknown";
}

const char* to_string(close_cause cause) noexcept
{
    switch (cause)
    {
    case close_cause::client_closed:
        return "client_closed";
    case close_cause::idle_timeout:
        return "idle_timeout";
    case close_cause::write_timeout:
        return "write_timeout";
    case close_cause::backlog_full:
        return "backlog_full";
    case close_cause::aborted:
        return "aborted";
    case close_cause::finished:
        return "finished";
    case close_cause::no_memory:
        return "no_memory";
    case close_cause::making_room:
        return "making_room";
    }
    return "unknown";
}

} // namespace tarragontrail::net
