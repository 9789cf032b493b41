#include "tarragontrail/wire/websocket_codec.hpp"

#include <algorithm>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace tarragontrail::wire {
namespace {

using client_endpoint = websocketpp::client<websocketpp::config::core_client>;
using server_endpoint = websocketpp::server<websocketpp::config::core>;
using websocketpp::connection_hdl;

// The library's input buffer holds 16 KiB; smaller pieces never overrun it.
constexpr std::size_t feed_piece_bytes = 7000;

/// What both kinds of endpoint report of their one connection.
struct connection_events
{
    std::string m_output;                ///< Bytes for the socket.
    std::vector<std::string> m_messages; ///< Messages received.
    bool m_open = false;                 ///< Handshake complete.
    bool m_closed = false;               ///< Failed or closed.
};

template <class Endpoint>
void observe(Endpoint& endpoint, connection_events& events)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_open_handler([&events](connection_hdl) { events.m_open = true; });
    endpoint.set_fail_handler([&events](connection_hdl) { events.m_closed = true; });
    endpoint.set_close_handler([&events](connection_hdl) {
        events.m_open = false;
        events.m_closed = true;
    });
    endpoint.set_message_handler([&events](connection_hdl, typename Endpoint::message_ptr message) {
        events.m_messages.push_back(message->get_payload());
    });
    endpoint.set_write_handler([&events](connection_hdl, char const* bytes, std::size_t size) {
        events.m_output.append(bytes, size);
        return websocketpp::lib::error_code();
    });
}

template <class Connection>
void feed_connection(Connection& connection, const char* bytes, std::size_t size)
{
    for (std::size_t offset = 0; offset < size; offset += feed_piece_bytes)
    {
        const std::size_t piece = std::min(feed_piece_bytes, size - offset);
        connection->read_all(bytes + offset, piece);
    }
}

template <class Connection>
void close_connection(Connection& connection)
{
    websocketpp::lib::error_code ignored;
    connection->close(websocketpp::close::status::going_away, "", ignored);
}

} // namespace

struct websocket_codec::state
{
    connection_events m_events;                    ///< Filled by the handlers.
    client_endpoint m_client;                      ///< Used in the client role.
    server_endpoint m_server;                      ///< Used in the server role.
    client_endpoint::connection_ptr m_client_side; ///< Set in the client role.
    server_endpoint::connection_ptr m_server_side; ///< Set in the server role.
};

websocket_codec::websocket_codec(websocket_role role, const std::string& host,
                                 std::size_t message_limit_bytes)
    : m_state(std::make_unique<state>())
{
    if (role == websocket_role::server)
    {
        observe(m_state->m_server, m_state->m_events);
        m_state->m_server.set_max_message_size(message_limit_bytes);
        m_state->m_server_side = m_state->m_server.get_connection();
        m_state->m_server_side->start();
        return;
    }
    observe(m_state->m_client, m_state->m_events);
    m_state->m_client.set_max_message_size(message_limit_bytes);
    websocketpp::lib::error_code error;
    m_state->m_client_side = m_state->m_client.get_connection("ws://" + host + "/peer", error);
    if (error)
    {
        m_state->m_events.m_closed = true;
        return;
    }
    m_state->m_client.connect(m_state->m_client_side);
}

/// A connection whose handshake is under way holds itself by the read that waits for its bytes.
websocket_codec::~websocket_codec()
{
    if (m_state->m_client_side)
    {
        m_state->m_client_side->eof();
    }
    if (m_state->m_server_side)
    {
        m_state->m_server_side->eof();
    }
}

void websocket_codec::feed(const char* bytes, std::size_t size)
{
    if (m_state->m_client_side)
    {
        feed_connection(m_state->m_client_side, bytes, size);
        return;
    }
    feed_connection(m_state->m_server_side, bytes, size);
}

void websocket_codec::send(const std::string& payload)
{
    if (!m_state->m_events.m_open)
    {
        return;
    }
    if (m_state->m_client_side)
    {
        m_state->m_client_side->send(payload, websocketpp::frame::opcode::binary);
        return;
    }
    m_state->m_server_side->send(payload, websocketpp::frame::opcode::binary);
}

void websocket_codec::close()
{
    if (!m_state->m_events.m_open)
    {
        return;
    }
    if (m_state->m_client_side)
    {
        close_connection(m_state->m_client_side);
        return;
    }
    close_connection(m_state->m_server_side);
}

std::string websocket_codec::take_output()
{
    std::string output;
    output.swap(m_state->m_events.m_output);
    return output;
}

std::vector<std::string> websocket_codec::take_messages()
{
    std::vector<std::string> messages;
    messages.swap(m_state->m_events.m_messages);
    return messages;
}

bool websocket_codec::is_open() const
{
    return m_state->m_events.m_open;
}

bool websocket_codec::is_closed() const
{
    return m_state->m_events.m_closed;
}

} // namespace tarragontrail::wire
