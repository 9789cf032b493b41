#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/net/http_types.hpp"
#include "tarragontrail/net/memory_account.hpp"
#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/wire/generated_messages.hpp"
#include "tarragontrail/wire/websocket_codec.hpp"

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace tarragontrail::net {

/// Bounds and deadlines of one link.
struct peer_link_settings
{
    std::chrono::milliseconds m_connect_timeout{
        1'000}; ///< Longest wait for connection and handshake.
    std::chrono::milliseconds m_heartbeat_interval{2'000}; ///< Time between link heartbeats.
    std::chrono::milliseconds m_silence_timeout{
        5'000}; ///< A link that hears nothing this long closes.
    /// A link that has heard something within this time is sound.
    std::chrono::milliseconds m_quiet_time{300};
    std::chrono::milliseconds m_idle_timeout{60'000}; ///< A link without messages this long closes.
    std::size_t m_queue_limit = 1'024;                ///< Most messages waiting for a handshake.
    std::size_t m_backlog_limit_bytes = 1'048'576;    ///< Most bytes waiting for the socket.
    /// Largest message; no instance sends one beyond its backlog and one message more.
    std::size_t m_message_limit_bytes = std::size_t{8} * 1024 * 1024;
    /// Most bytes that a link takes before the peer has named itself.
    std::size_t m_unnamed_limit_bytes = std::size_t{16} * 1024;
    std::size_t m_accepted_limit = 4'096; ///< Most links that others opened.
    /// Bounds what is held of messages that are not whole; size of the receive queues of links that
    /// others opened, or zero for the system's.
    std::shared_ptr<memory_account> m_memory = memory_account::unlimited();
    int m_receive_buffer_bytes = 0;
};

class peer_link;

/// Told of the life of a link, on its thread.
class peer_link_listener
{
public:
    virtual ~peer_link_listener() = default;

    /// The peer has named itself.
    virtual void on_link_named(peer_link& link, core::instance_id peer) = 0;

    /// A message other than the link's own has arrived.
    virtual void on_link_message(peer_link& link, const wire::message& message) = 0;

    /// The link is closed; it sends no more events.
    virtual void on_link_closed(peer_link& link) = 0;
};

/// Message that is encoded once for all links that carry it.
struct encoded_message
{
    explicit encoded_message(const wire::message& message)
        : m_type(message.index()),
          m_bytes(std::make_shared<const std::string>(wire::encode(message)))
    {}

    /// A message of a type that is encoded already.
    encoded_message(std::size_t type, std::string bytes)
        : m_type(type), m_bytes(std::make_shared<const std::string>(std::move(bytes)))
    {}

    std::size_t m_type; ///< Index of the message's type.
    std::shared_ptr<const std::string> m_bytes;
};

/// What links have carried of one type of message.
struct message_traffic
{
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0; ///< Without frames.
};

/// Bytes and messages that one or more links have carried.
struct peer_traffic
{
    std::uint64_t m_messages_sent = 0;     ///< Messages written.
    std::uint64_t m_messages_received = 0; ///< Messages read.
    std::uint64_t m_bytes_sent = 0;        ///< Bytes written, frames included.
    std::uint64_t m_bytes_received = 0;    ///< Bytes read, frames included.
    /// Messages queued, by the index of their type.
    std::array<message_traffic, wire::message_type_count> m_sent_by_type{};
};

/// One websocket connection to another entry instance.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// `own_name` is sent first; `traffic` and `listener` outlive the link.
    peer_link(tcp::socket socket, wire::websocket_role role, const wire::hello& own_name,
              const peer_link_settings& settings, peer_link_listener& listener,
              peer_traffic& traffic);

    /// Connects to a peer; for the client role.
    void connect(const tcp::endpoint& endpoint);

    /// Starts reading; for the server role.
    void serve();

    /// Queues a message; returns false when the link is closed or a bound is reached.
    bool send(const encoded_message& message);

    /// Closes without further events.
    void abandon();

    /// Time since something was heard, or since the link was opened.
    core::duration silence(core::time_point now) const noexcept { return now - m_last_heard; }

    /// Peer's identity once it has named itself; zero before.
    core::instance_id peer() const noexcept { return m_peer; }

    /// Whether the other side opened it.
    bool is_accepted() const noexcept { return m_is_accepted; }

private:
    void read();
    void on_bytes(std::size_t size);
    void on_message(const wire::message& message);
    void flush();
    void schedule_check();
    void check();
    void close();

    tcp::socket m_socket;                                   ///< Connection.
    wire::websocket_codec m_codec;                          ///< Frames on the connection.
    wire::hello m_own_name;                                 ///< First message sent.
    peer_link_settings m_settings;                          ///< Bounds and deadlines.
    peer_link_listener* m_listener;                         ///< Told of events; null once closed.
    peer_traffic* m_traffic;                                ///< Counts of all links.
    timer m_timer;                                          ///< Next check.
    std::deque<std::shared_ptr<const std::string>> m_queue; ///< Messages waiting for the handshake.
    std::string m_in_flight;                                ///< Bytes being written.
    std::string m_backlog;                                  ///< Bytes to write next.
    std::array<char, 8192> m_input{};                       ///< Room for one read.
    core::instance_id m_peer{};      ///< Zero until the peer has named itself.
    core::time_point m_opened;       ///< Start of the link.
    core::time_point m_last_heard;   ///< Last bytes read.
    core::time_point m_last_used;    ///< Last message other than the link's own.
    bool m_introduced = false;       ///< Own name is sent.
    bool m_writing = false;          ///< A write is pending.
    bool m_is_accepted = false;      ///< The other side opened it.
    memory_claim m_claim;            ///< Bytes of a message that is not whole, and those to write.
    std::size_t m_partial_bytes = 0; ///< Bytes read since the last whole message.
};

} // namespace tarragontrail::net
