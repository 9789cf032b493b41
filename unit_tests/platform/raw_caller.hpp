#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <memory>
#include <string>
#include <string_view>

namespace tarragontrail::test {

/// What a response says of its own end, from the least to the most.
enum class end_claim
{
    broken,   ///< The frame is not whole, or the connection was reset.
    closed,   ///< It has no frame, and its connection was closed in the ordinary way.
    complete, ///< It has its announced length, or its last chunk.
};

/// Caller that keeps the bytes of one response as they are on the wire.
class raw_caller
{
public:
    raw_caller(boost::asio::io_context& context, std::uint16_t port, std::string request)
        : m_socket(context), m_request(std::move(request))
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        boost::asio::async_write(m_socket, boost::asio::buffer(m_request),
                                 [](boost::system::error_code, std::size_t) {});
        read();
    }

    /// The connection has ended, or the frame of the response is whole.
    bool is_over() const { return m_ended || claim() == end_claim::complete; }

    /// Closes the connection.
    void leave() { m_socket.close(); }

    end_claim claim() const
    {
        const std::size_t head = m_bytes.find("\r\n\r\n");
        if (head == std::string::npos)
        {
            return end_claim::broken;
        }
        const std::string_view body = std::string_view(m_bytes).substr(head + 4);
        if (has_field("Transfer-Encoding: chunked"))
        {
            return body.ends_with("0\r\n\r\n") ? end_claim::complete : end_claim::broken;
        }
        const std::size_t length = m_bytes.find("Content-Length: ");
        if (length != std::string::npos && length < head)
        {
            std::size_t wanted = 0;
            const char* digits =
                m_bytes.data() + length + std::string_view("Content-Length: ").size();
            std::from_chars(digits, m_bytes.data() + head, wanted);
            return body.size() >= wanted ? end_claim::complete : end_claim::broken;
        }
        return m_ended && !m_reset ? end_claim::closed : end_claim::broken;
    }

    unsigned status() const
    {
        constexpr std::size_t status_at = std::string_view("HTTP/1.1 ").size();
        unsigned status = 0;
        if (m_bytes.size() > status_at)
        {
            std::from_chars(m_bytes.data() + status_at, m_bytes.data() + m_bytes.size(), status);
        }
        return status;
    }

    /// Body without chunk lines.
    std::string body() const
    {
        const std::size_t head = m_bytes.find("\r\n\r\n");
        if (head == std::string::npos)
        {
            return {};
        }
        std::string_view rest = std::string_view(m_bytes).substr(head + 4);
        if (!has_field("Transfer-Encoding: chunked"))
        {
            return std::string(rest);
        }
        std::string text;
        while (!rest.empty())
        {
            constexpr int hexadecimal = 16;
            std::size_t size = 0;
            std::from_chars(rest.data(), rest.data() + rest.size(), size, hexadecimal);
            const std::size_t line = rest.find("\r\n");
            if (size == 0 || line == std::string_view::npos)
            {
                break;
            }
            text += rest.substr(line + 2, size);
            rest.remove_prefix(std::min(rest.size(), line + 2 + size + 2));
        }
        return text;
    }

    /// Whether the head has this line.
    bool has_field(std::string_view line) const
    {
        const std::size_t at = m_bytes.find(line);
        return at != std::string::npos && at < m_bytes.find("\r\n\r\n");
    }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_piece),
                                 [this](boost::system::error_code error, std::size_t size) {
                                     m_bytes.append(m_piece.data(), size);
                                     if (error)
                                     {
                                         m_ended = true;
                                         m_reset = error != boost::asio::error::eof;
                                         return;
                                     }
                                     read();
                                 });
    }

    boost::asio::ip::tcp::socket m_socket;
    std::string m_request;
    std::string m_bytes; ///< All that has arrived.
    std::array<char, 4096> m_piece{};
    bool m_ended = false; ///< The connection has ended.
    bool m_reset = false; ///< It ended by something else than an ordinary close.
};

} // namespace tarragontrail::test
