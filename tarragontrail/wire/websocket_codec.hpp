#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace tarragontrail::wire {

/// Side of a websocket connection.
enum class websocket_role
{
    client, ///< Opened the connection and sends the upgrade request.
    server, ///< Accepted the connection.
};

/// Turns the bytes of one connection into websocket messages and back; owns no socket.
///
/// The header shows neither websocketpp nor Asio types, as its source is compiled as C++17.
class websocket_codec
{
public:
    /// Starts the opening handshake; a client has output to send at once. A longer message than
    /// `message_limit_bytes` closes the connection.
    websocket_codec(websocket_role role, const std::string& host,
                    std::size_t message_limit_bytes = default_message_limit_bytes);
    ~websocket_codec();
    websocket_codec(const websocket_codec&) = delete;
    websocket_codec& operator=(const websocket_codec&) = delete;

    /// Takes bytes read from the socket.
    void feed(const char* bytes, std::size_t size);

    /// Queues one binary message; ignored until the handshake is complete.
    void send(const std::string& payload);

    /// Starts the closing handshake.
    void close();

    /// Bytes to write to the socket since the last call.
    std::string take_output();

    /// Whole messages received since the last call, in order.
    std::vector<std::string> take_messages();

    /// True once the handshake is complete and until the connection closes.
    bool is_open() const;

    /// True after a failed handshake or a close from either side.
    bool is_closed() const;

    static constexpr std::size_t default_message_limit_bytes = 32'000'000;

private:
    struct state;
    std::unique_ptr<state> m_state; ///< websocketpp endpoint and connection.
};

} // namespace tarragontrail::wire
