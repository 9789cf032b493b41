#include "tarragontrail/net/peer_link.hpp"

#include "tarragontrail/net/socket_options.hpp"
#include "tarragontrail/observe/log.hpp"

#include <boost/asio/write.hpp>

namespace tarragontrail::net {

using boost::system::error_code;

peer_link::peer_link(tcp::socket socket, wire::websocket_role role, const wire::hello& own_name,
                     const peer_link_settings& settings, peer_link_listener& listener,
                     peer_traffic& traffic)
    : m_socket(std::move(socket)), m_codec(role, "peer", settings.m_message_limit_bytes),
      m_own_name(own_name), m_settings(settings), m_listener(&listener), m_traffic(&traffic),
      m_timer(m_socket.get_executor()), m_opened(core::runtime_clock::now()),
      m_last_heard(m_opened), m_last_used(m_opened),
      m_is_accepted(role == wire::websocket_role::server), m_claim(settings.m_memory)
{}

void peer_link::connect(const tcp::endpoint& endpoint)
{
    schedule_check();
    m_socket.async_connect(endpoint, [self = shared_from_this()](error_code error) {
        if (error)
        {
            self->close();
            return;
        }
        self->serve();
    });
}

void peer_link::serve()
{
    prepare_socket(m_socket);
    schedule_check();
    flush();
    read();
}

bool peer_link::send(const encoded_message& message)
{
    if (m_listener == nullptr || m_queue.size() >= m_settings.m_queue_limit ||
        m_backlog.size() >= m_settings.m_backlog_limit_bytes)
    {
        return false;
    }
    m_last_used = core::runtime_clock::now();
    m_queue.push_back(message.m_bytes);
    message_traffic& counted = m_traffic->m_sent_by_type[message.m_type];
    ++counted.m_messages;
    counted.m_bytes += message.m_bytes->size();
    flush();
    return true;
}

void peer_link::abandon()
{
    m_listener = nullptr;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

void peer_link::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_input),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                                 if (error)
                                 {
                                     self->close();
                                     return;
                                 }
                                 self->on_bytes(size);
                             });
}

void peer_link::on_bytes(std::size_t size)
{
    m_last_heard = core::runtime_clock::now();
    m_traffic->m_bytes_received += size;
    m_codec.feed(m_input.data(), size);
    flush();
    const std::vector<std::string> messages = m_codec.take_messages();
    m_partial_bytes = messages.empty() ? m_partial_bytes + size : 0;
    const bool is_unnamed = core::value_of(m_peer) == 0 && messages.empty();
    if (!m_claim.resize(m_partial_bytes) ||
        (is_unnamed && m_partial_bytes > m_settings.m_unnamed_limit_bytes))
    {
        observe::log("peer_link_refused", {{"bytes", m_partial_bytes}, {"named", !is_unnamed}});
        close();
        return;
    }
    for (const std::string& bytes : messages)
    {
        if (m_listener == nullptr)
        {
            return;
        }
        ++m_traffic->m_messages_received;
        try
        {
            on_message(wire::decode(bytes));
        }
        catch (const wire::decode_error& failure)
        {
            observe::log("peer_message_refused", {{"reason", failure.what()}});
            close();
            return;
        }
    }
    if (m_codec.is_closed())
    {
        close();
        return;
    }
    read();
}

void peer_link::on_message(const wire::message& message)
{
    if (const auto* name = std::get_if<wire::hello>(&message))
    {
        m_peer = name->m_sender;
        m_listener->on_link_named(*this, m_peer);
        return;
    }
    if (std::holds_alternative<wire::link_heartbeat>(message))
    {
        return;
    }
    // A peer speaks for itself only after it has named itself.
    if (core::value_of(m_peer) == 0)
    {
        throw wire::decode_error("message before hello");
    }
    m_last_used = m_last_heard;
    m_listener->on_link_message(*this, message);
}

void peer_link::flush()
{
    // Own name first, then all that waited for the handshake.
    if (m_codec.is_open())
    {
        if (!m_introduced)
        {
            m_introduced = true;
            m_codec.send(wire::encode(m_own_name));
            ++m_traffic->m_messages_sent;
        }
        for (const auto& bytes : m_queue)
        {
            m_codec.send(*bytes);
            ++m_traffic->m_messages_sent;
        }
        m_queue.clear();
    }
    m_backlog += m_codec.take_output();
    if (m_writing || m_backlog.empty() || !m_socket.is_open())
    {
        return;
    }

    m_writing = true;
    m_in_flight.clear();
    m_in_flight.swap(m_backlog);
    m_traffic->m_bytes_sent += m_in_flight.size();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_in_flight),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 self->m_writing = false;
                                 if (error)
                                 {
                                     self->close();
                                     return;
                                 }
                                 self->flush();
                             });
}

void peer_link::schedule_check()
{
    const auto delay =
        m_codec.is_open() ? m_settings.m_heartbeat_interval : m_settings.m_connect_timeout;
    m_timer.run_after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
        {
            self->check();
        }
    });
}

void peer_link::check()
{
    const core::time_point now = core::runtime_clock::now();
    const bool late_handshake =
        !m_codec.is_open() && now - m_opened >= m_settings.m_connect_timeout;
    const bool silent = now - m_last_heard >= m_settings.m_silence_timeout;
    const bool idle = now - m_last_used >= m_settings.m_idle_timeout;
    if (late_handshake || silent || idle)
    {
        close();
        return;
    }
    m_codec.send(wire::encode(wire::link_heartbeat{}));
    flush();
    schedule_check();
}

void peer_link::close()
{
    peer_link_listener* listener = std::exchange(m_listener, nullptr);
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    if (listener != nullptr)
    {
        listener->on_link_closed(*this);
    }
}

} // namespace tarragontrail::net
