#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragontrail::test {

/// Upstream on loopback that answers each request with the bytes that a script gives.
class scripted_upstream
{
public:
    /// What the script wants of one request.
    struct reply
    {
        std::string m_bytes;  ///< Sent at once.
        bool m_close = false; ///< The connection is closed behind them.
        bool m_hold = false;  ///< Nothing more is read from the connection.
    };

    using script = std::function<reply(const std::string& head)>;

    scripted_upstream(boost::asio::io_context& context, script answer)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_answer(std::move(answer))
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Refuses connections from now on.
    void stop() { m_acceptor.close(); }

    std::vector<std::string> m_requests; ///< Heads of the requests that arrived.
    int m_connections = 0;               ///< Connections accepted.
    int m_closed_by_client = 0;          ///< Connections that the other side closed.

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket socket) : m_socket(std::move(socket)) {}

        boost::asio::ip::tcp::socket m_socket;
        boost::asio::streambuf m_input;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (!error)
                {
                    ++m_connections;
                    read(std::make_shared<connection>(std::move(socket)));
                    accept();
                }
            });
    }

    void read(const std::shared_ptr<connection>& peer)
    {
        boost::asio::async_read_until(
            peer->m_socket, peer->m_input, "\r\n\r\n",
            [this, peer](boost::system::error_code error, std::size_t size) {
                if (error)
                {
                    ++m_closed_by_client;
                    return;
                }
                const auto begin = boost::asio::buffers_begin(peer->m_input.data());
                m_requests.emplace_back(begin, begin + static_cast<std::ptrdiff_t>(size));
                peer->m_input.consume(peer->m_input.size());
                const reply wanted = m_answer(m_requests.back());
                boost::system::error_code ignored;
                boost::asio::write(peer->m_socket, boost::asio::buffer(wanted.m_bytes), ignored);
                if (wanted.m_hold)
                {
                    m_held.push_back(peer);
                }
                else if (!wanted.m_close)
                {
                    read(peer);
                }
            });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_answer;
    std::vector<std::shared_ptr<connection>> m_held;
};

} // namespace tarragontrail::test
