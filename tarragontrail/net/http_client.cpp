#include "tarragontrail/net/http_client.hpp"

#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/net/head_buffer.hpp"
#include "tarragontrail/net/parsed_bytes.hpp"
#include "tarragontrail/net/socket_options.hpp"
#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <optional>

namespace tarragontrail::net {

namespace http = boost::beast::http;
using boost::system::error_code;

/// One connection with the bytes read ahead on it.
struct client_connection
{
    explicit client_connection(boost::asio::io_context& context) : m_socket(context) {}

    tcp::socket m_socket;                                   ///< Connection to the server.
    head_buffer m_buffer;                                   ///< Bytes read and not parsed.
    bool m_reused = false;                                  ///< An earlier call used it.
    std::uint64_t m_requests = 0;                           ///< Sent on it.
    core::time_point m_opened = core::runtime_clock::now(); ///< When it was opened.
    core::time_point m_idle_since{};                        ///< End of the last call.
    core::time_point m_usable_until =
        core::time_point::max(); ///< The server may close it from here on.

    core::duration age() const { return core::runtime_clock::now() - m_opened; }
};

namespace {

std::string name_of(const tcp::endpoint& server)
{
    return fmt::format("{}:{}", server.address().to_string(), server.port());
}

/// Whole milliseconds for logs.
std::int64_t milliseconds_of(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

/// Share of the announced idle timeout within which a connection is used again; the rest covers the
/// time that a request is on its way and the server's rounding to whole seconds.
constexpr double usable_idle_share = 0.6;
/// Longer announcements count as this one, in seconds.
constexpr std::uint64_t longest_announced_s = 86'400;

/// Idle connections by endpoint.
struct http_client::pool
{
    pool(boost::asio::io_context& context, std::size_t idle_limit)
        : m_context(context), m_idle_limit(idle_limit)
    {}

    std::unique_ptr<client_connection> take(const tcp::endpoint& endpoint,
                                            std::chrono::milliseconds reuse_limit)
    {
        const core::time_point now = core::runtime_clock::now();
        auto& idle = m_idle[endpoint];
        while (!idle.empty())
        {
            std::unique_ptr<client_connection> connection = std::move(idle.back());
            idle.pop_back();
            if (now - connection->m_idle_since > reuse_limit)
            {
                // Younger connections are at the back, so all that are left are older.
                idle.clear();
                return nullptr;
            }
            if (now < connection->m_usable_until && is_quiet(*connection))
            {
                return connection;
            }
        }
        return nullptr;
    }

    void give_back(const tcp::endpoint& endpoint, std::unique_ptr<client_connection> connection)
    {
        auto& idle = m_idle[endpoint];
        if (idle.size() >= m_idle_limit || connection->m_buffer.size() > 0)
        {
            return;
        }
        connection->m_reused = true;
        connection->m_idle_since = core::runtime_clock::now();
        idle.push_back(std::move(connection));
    }

    /// An idle connection that has something to read was closed by the server, or has bytes that
    /// answer no request.
    static bool is_quiet(client_connection& connection)
    {
        char byte = 0;
        error_code error;
        connection.m_socket.non_blocking(true, error);
        connection.m_socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                                    error);
        if (!error)
        {
            error_code ignored;
            const tcp::endpoint server = connection.m_socket.remote_endpoint(ignored);
            observe::log("answer_out_of_turn", {{"server", name_of(server)},
                                                {"age_ms", milliseconds_of(connection.age())},
                                                {"requests", connection.m_requests}});
        }
        return error == boost::asio::error::would_block;
    }

    boost::asio::io_context& m_context; ///< Event loop.
    std::size_t m_idle_limit;           ///< Most idle connections kept per endpoint.
    int m_receive_buffer_bytes = 0;     ///< Zero leaves it to the system.
    std::uint64_t m_opened = 0;         ///< Connections opened.
    std::map<tcp::endpoint, std::deque<std::unique_ptr<client_connection>>> m_idle; ///< Idle ones.
};

namespace {

/// Gathers a whole response for `fetch`.
class gathering_listener : public call_listener
{
public:
    explicit gathering_listener(std::function<void(http_client::fetch_result)> on_result)
        : m_on_result(std::move(on_result))
    {}

    void on_head(const http_response& head, body_framing framing) override
    {
        m_result.m_response = head;
        m_result.m_framing = framing;
    }

    void on_body(std::string_view piece) override { m_result.m_response.body().append(piece); }

    void on_complete() override
    {
        m_result.m_ok = true;
        m_on_result(std::move(m_result));
    }

    void on_failed(const call_failure& failure) override
    {
        m_result.m_failure = failure;
        m_on_result(std::move(m_result));
    }

private:
    std::function<void(http_client::fetch_result)> m_on_result; ///< Told once.
    http_client::fetch_result m_result;                         ///< Filled as it arrives.
};

} // namespace

/// State machine of one call: connect, send, read the head, read the body.
template <class Pool>
class running_call : public http_call, public std::enable_shared_from_this<running_call<Pool>>
{
public:
    running_call(std::shared_ptr<Pool> pool, const tcp::endpoint& endpoint, http_request request,
                 const call_settings& settings, std::shared_ptr<call_listener> listener)
        : m_pool(std::move(pool)), m_endpoint(endpoint), m_request(std::move(request)),
          m_settings(settings), m_listener(std::move(listener)), m_timer(m_pool->m_context),
          m_acknowledgement_timer(m_pool->m_context)
    {
        if (m_settings.m_total_timeout)
        {
            m_deadline = core::runtime_clock::now() + *m_settings.m_total_timeout;
        }
    }

    void start()
    {
        if (!m_listener)
        {
            // Cancelled before its turn came.
            return;
        }
        if (!m_settings.m_fresh_connection)
        {
            m_connection = m_pool->take(m_endpoint, m_settings.m_reuse_limit);
        }
        if (m_connection)
        {
            send();
            return;
        }
        connect();
    }

    connection_use use() const override
    {
        if (!m_connection)
        {
            return {};
        }
        return {m_connection->age(), m_connection->m_requests};
    }

    void cancel() override
    {
        m_listener.reset();
        close();
    }

    bool skip_response() override
    {
        if (!m_connection || !m_connection->m_reused || !m_parser->keep_alive() ||
            m_skipped >= m_settings.m_skip_limit)
        {
            return false;
        }
        ++m_skipped;
        m_skipping = true;
        arm(m_settings.m_skip_timeout);
        return true;
    }

private:
    using self_pointer = std::shared_ptr<running_call<Pool>>;

    void connect()
    {
        ++m_pool->m_opened;
        m_connection = std::make_unique<client_connection>(m_pool->m_context);
        arm(m_settings.m_connect_timeout);
        if (m_pool->m_receive_buffer_bytes > 0)
        {
            // The window of the connection is chosen when it is made. On failure the system's
            // holds.
            error_code ignored;
            m_connection->m_socket.open(m_endpoint.protocol(), ignored);
            m_connection->m_socket.set_option(
                boost::asio::socket_base::receive_buffer_size(m_pool->m_receive_buffer_bytes),
                ignored);
        }
        m_connection->m_socket.async_connect(m_endpoint,
                                             [self = this->shared_from_this()](error_code error) {
                                                 if (error)
                                                 {
                                                     self->fail(call_fault::refused);
                                                     return;
                                                 }
                                                 if (self->m_connection)
                                                 {
                                                     prepare_socket(self->m_connection->m_socket);
                                                     self->send();
                                                 }
                                             });
    }

    void send()
    {
        m_stage = call_stage::sending;
        ++m_connection->m_requests;
        m_head_due = core::runtime_clock::now() + m_settings.m_first_byte_timeout;
        arm_until(m_head_due);
        http::async_write(m_connection->m_socket, m_request,
                          [self = this->shared_from_this()](error_code error, std::size_t) {
                              // The server may have answered before it stopped reading: the read
                              // side tells.
                              self->m_sent = !error;
                              self->m_write_failed = error.failed();
                              if (error && error != boost::asio::error::operation_aborted)
                              {
                                  observe::log("request_cut", {{"server", self->server_name()},
                                                               {"cause", error.message()}});
                              }
                              if (self->m_awaits_request_end)
                              {
                                  self->complete_when_request_is_taken();
                              }
                          });
        read_head();
    }

    void read_head()
    {
        if (!m_connection)
        {
            return;
        }
        m_parser.emplace();
        m_parser->body_limit(m_settings.m_body_limit_bytes);
        m_parser->header_limit(m_settings.m_head_limit_bytes - m_interim_bytes);
        // The parser has no bound of its own for chunk extensions and trailers.
        m_connection->m_buffer.max_size(m_settings.m_head_limit_bytes);
        m_connection->m_buffer.begin_head();
        http::async_read_header(
            m_connection->m_socket, m_connection->m_buffer, *m_parser,
            [self = this->shared_from_this()](error_code error, std::size_t size) {
                self->on_head(error, size);
            });
    }

    void on_head(error_code error, std::size_t size)
    {
        if (error)
        {
            fail(fault_of(error));
            return;
        }
        m_connection->m_buffer.end_head();
        if (!is_answer(m_parser->get()) || m_connection->m_buffer.has_folded_line())
        {
            fail(call_fault::malformed);
            return;
        }
        if (is_interim(m_parser->get().result_int()))
        {
            m_interim_bytes += static_cast<std::uint32_t>(size);
            if (m_interim_bytes >= m_settings.m_head_limit_bytes)
            {
                fail(call_fault::oversized);
                return;
            }
            read_head();
            return;
        }
        m_stage = call_stage::receiving;
        http_response head;
        head.base() = m_parser->get().base();
        const body_framing framing = framing_of(*m_parser);
        notify([&head, framing](call_listener& listener) { listener.on_head(head, framing); });
        read_body();
    }

    void read_body()
    {
        if (!m_listener || !m_connection)
        {
            return;
        }
        if (m_parser->is_done())
        {
            end_response();
            return;
        }
        if (!m_skipping)
        {
            arm(m_settings.m_idle_timeout);
        }
        auto& body = m_parser->get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        read_piece();
    }

    void read_piece()
    {
        auto& buffer = m_connection->m_buffer;
        error_code error = http::error::need_more;
        if (buffer.size() >= least_parsed_bytes(*m_parser))
        {
            buffer.consume(m_parser->put(buffer.data(), error));
        }
        const std::size_t room = boost::beast::read_size(buffer, largest_read_bytes);
        if (error == http::error::need_more && room > 0)
        {
            m_connection->m_socket.async_read_some(
                buffer.prepare(room),
                [self = this->shared_from_this()](error_code failure, std::size_t size) {
                    self->on_bytes(failure, size);
                });
            return;
        }
        if (error == http::error::need_more)
        {
            error = http::error::buffer_overflow;
        }
        boost::asio::post(m_pool->m_context,
                          [self = this->shared_from_this(), error] { self->on_piece(error); });
    }

    void on_bytes(error_code error, std::size_t size)
    {
        if (m_connection)
        {
            m_connection->m_buffer.commit(size);
        }
        if (!error && m_connection && m_listener)
        {
            read_piece();
            return;
        }
        if (error == boost::asio::error::eof)
        {
            error = {};
            m_parser->put_eof(error);
        }
        on_piece(error);
    }

    void on_piece(error_code error)
    {
        if (error && error != http::error::need_buffer)
        {
            fail(fault_of(error));
            return;
        }
        const std::size_t size = m_piece.size() - m_parser->get().body().size;
        m_skipped_bytes += m_skipping ? size : 0;
        if (m_skipped_bytes > m_settings.m_skip_limit_bytes)
        {
            fail(call_fault::oversized);
            return;
        }
        if (size > 0 && !m_skipping)
        {
            const std::string_view piece(m_piece.data(), size);
            notify([piece](call_listener& listener) { listener.on_body(piece); });
        }
        read_body();
    }

    /// The call goes on behind a response that is skipped.
    void end_response()
    {
        if (!m_skipping)
        {
            complete_when_request_is_taken();
            return;
        }
        m_skipping = false;
        m_stage = call_stage::sending;
        arm_until(m_head_due);
        read_head();
    }

    /// A response that only the close of its connection ends is whole once the server has taken the
    /// whole request; until then the server may still cut both by a reset.
    void complete_when_request_is_taken()
    {
        if (!m_parser->need_eof())
        {
            complete();
            return;
        }
        // A socket reports its error once: after a failed write, a reset reads as an ordinary
        // close.
        if (m_write_failed || is_broken(m_connection->m_socket))
        {
            fail(call_fault::reset);
            return;
        }
        if (m_sent && !has_unacknowledged_bytes(m_connection->m_socket))
        {
            complete();
            return;
        }
        if (!std::exchange(m_awaits_request_end, true))
        {
            arm(m_settings.m_idle_timeout);
        }
        if (m_sent)
        {
            m_acknowledgement_timer.run_after(
                acknowledgement_interval,
                [self = this->shared_from_this()] { self->complete_when_request_is_taken(); });
        }
    }

    void complete()
    {
        m_timer.cancel();
        // An answer that came before the whole request was sent leaves the rest of it in the way.
        if (m_parser->keep_alive() && m_sent && m_skipped == 0)
        {
            note_idle_timeout();
            m_pool->give_back(m_endpoint, std::move(m_connection));
        }
        close();
        if (const auto listener = std::exchange(m_listener, nullptr))
        {
            listener->on_complete();
        }
    }

    /// Takes over the idle timeout that the server announces, if any.
    void note_idle_timeout()
    {
        const std::string announced = header_value(m_parser->get(), "Keep-Alive");
        const std::size_t at = announced.find("timeout=");
        if (at == std::string::npos)
        {
            return;
        }
        const std::string_view rest =
            std::string_view(announced).substr(at + std::string_view("timeout=").size());
        // What cannot be read counts as none at all, so the connection is not used again.
        const std::uint64_t seconds =
            core::parse_number(rest.substr(0, rest.find_first_not_of("0123456789"))).value_or(0);
        const std::chrono::duration<double> timeout(
            static_cast<double>(std::min(seconds, longest_announced_s)));
        m_connection->m_usable_until =
            core::runtime_clock::now() +
            std::chrono::duration_cast<core::duration>(timeout * usable_idle_share);
    }

    void fail(call_fault fault)
    {
        const bool reused = m_connection && m_connection->m_reused;
        const call_failure failure{m_stage, m_timed_out ? call_fault::timed_out : fault, reused};
        close();
        if (m_skipping)
        {
            observe::log("skipping_ended", {{"server", server_name()},
                                            {"cause", to_string(failure.m_fault)},
                                            {"bytes", m_skipped_bytes}});
        }
        if (const auto listener = std::exchange(m_listener, nullptr))
        {
            listener->on_failed(failure);
        }
    }

    template <class Event>
    void notify(Event event)
    {
        // The listener may cancel the call from within its event.
        if (const auto listener = m_listener)
        {
            event(*listener);
        }
    }

    void arm(std::chrono::milliseconds timeout) { arm_until(core::runtime_clock::now() + timeout); }

    void arm_until(core::time_point when)
    {
        m_timer.run_at(std::min(when, m_deadline), [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (!self || !self->m_connection)
            {
                return;
            }
            self->m_timed_out = true;
            error_code ignored;
            self->m_connection->m_socket.close(ignored);
        });
    }

    void close()
    {
        m_timer.cancel();
        m_acknowledgement_timer.cancel();
        if (m_connection)
        {
            error_code ignored;
            m_connection->m_socket.close(ignored);
        }
    }

    std::string server_name() const { return name_of(m_endpoint); }

    template <class Parser>
    static body_framing framing_of(const Parser& parser)
    {
        if (parser.chunked())
        {
            return body_framing::chunks;
        }
        return parser.need_eof() ? body_framing::until_close : body_framing::length;
    }

    /// Whether a head is one that may answer a call.
    template <class Message>
    static bool is_answer(const Message& head)
    {
        const unsigned status = head.result_int();
        // No call asks for another protocol.
        return status >= lowest_status && status <= highest_status &&
               head.result() != http::status::switching_protocols &&
               is_framing_unambiguous(head, head.version());
    }

    /// Whether the final response is still to come; statuses that the library does not name count.
    static bool is_interim(unsigned status) { return status / 100 == 1; }

    static call_fault fault_of(error_code error)
    {
        if (error == http::error::header_limit || error == http::error::body_limit ||
            error == http::error::buffer_overflow)
        {
            return call_fault::oversized;
        }
        if (error == boost::asio::error::eof || error == http::error::end_of_stream ||
            error == http::error::partial_message)
        {
            return call_fault::closed;
        }
        const bool from_parser =
            error.category() == http::make_error_code(http::error::bad_version).category();
        return from_parser ? call_fault::malformed : call_fault::reset;
    }

    /// Most bytes of a body that are read at once.
    static constexpr std::size_t largest_read_bytes = 65'536;

    /// Statuses of HTTP.
    static constexpr unsigned lowest_status = 100;
    static constexpr unsigned highest_status = 599;

    /// Between two looks at what the server has acknowledged of a request.
    static constexpr std::chrono::milliseconds acknowledgement_interval{5};

    static constexpr std::size_t piece_bytes = std::size_t{16} * 1024;

    std::shared_ptr<Pool> m_pool;              ///< Source of idle connections.
    tcp::endpoint m_endpoint;                  ///< Server.
    http_request m_request;                    ///< Request being sent.
    call_settings m_settings;                  ///< Deadlines.
    std::shared_ptr<call_listener> m_listener; ///< Cleared at the last event.
    timer m_timer;                             ///< Deadline of the current stage.
    timer m_acknowledgement_timer; ///< Next look whether the server has taken the request.
    std::unique_ptr<client_connection> m_connection;                  ///< Connection in use.
    std::optional<http::response_parser<http::buffer_body>> m_parser; ///< Response being read.
    std::array<char, piece_bytes> m_piece{};               ///< Room for one piece of the body.
    call_stage m_stage = call_stage::connecting;           ///< How far the call has come.
    core::time_point m_deadline = core::time_point::max(); ///< Latest end of the response.
    std::uint32_t m_interim_bytes = 0;                     ///< Of heads before the final one.
    std::uint64_t m_skipped_bytes = 0;                     ///< Body bytes of skipped responses.
    core::time_point m_head_due{};     ///< Latest arrival of the response's head.
    std::uint64_t m_skipped = 0;       ///< Responses to earlier requests that came before its own.
    bool m_skipping = false;           ///< The rest of such a response is read for nobody.
    bool m_timed_out = false;          ///< A deadline closed the connection.
    bool m_sent = false;               ///< The whole request is written.
    bool m_write_failed = false;       ///< The rest of the request could not be written.
    bool m_awaits_request_end = false; ///< The response has ended, the request has not.
};

const char* to_string(body_framing framing) noexcept
{
    switch (framing)
    {
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::until_close:
        return "until_close";
    }
    return "unknown";
}

const char* to_string(call_fault fault) noexcept
{
    switch (fault)
    {
    case call_fault::refused:
        return "refused";
    case call_fault::timed_out:
        return "timed_out";
    case call_fault::closed:
        return "closed";
    case call_fault::reset:
        return "reset";
    case call_fault::malformed:
        return "malformed";
    case call_fault::oversized:
        return "oversized";
    case call_fault::cancelled:
        return "cancelled";
    }
    return "unknown";
}

http_client::http_client(boost::asio::io_context& context, std::size_t idle_limit)
    : m_pool(std::make_shared<pool>(context, idle_limit))
{}

http_client::~http_client() = default;

std::shared_ptr<http_call> http_client::start(const tcp::endpoint& endpoint, http_request request,
                                              const call_settings& settings,
                                              std::shared_ptr<call_listener> listener)
{
    request.prepare_payload();
    auto call = std::make_shared<running_call<pool>>(m_pool, endpoint, std::move(request), settings,
                                                     std::move(listener));
    boost::asio::post(m_pool->m_context, [call] { call->start(); });
    return call;
}

std::shared_ptr<http_call> http_client::fetch(const tcp::endpoint& endpoint, http_request request,
                                              const call_settings& settings,
                                              std::function<void(fetch_result)> on_result)
{
    return start(endpoint, std::move(request), settings,
                 std::make_shared<gathering_listener>(std::move(on_result)));
}

void http_client::set_receive_buffer(int bytes)
{
    m_pool->m_receive_buffer_bytes = bytes;
}

std::uint64_t http_client::opened_count() const noexcept
{
    return m_pool->m_opened;
}

void http_client::forget(const tcp::endpoint& endpoint)
{
    m_pool->m_idle.erase(endpoint);
}

http_request make_request(boost::beast::http::verb method, std::string_view target,
                          std::string body)
{
    http_request request;
    request.version(11);
    request.method(method);
    request.target(boost::beast::string_view(target.data(), target.size()));
    request.set(http::field::host, "upstream");
    if (!body.empty())
    {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    return request;
}

} // namespace tarragontrail::net
