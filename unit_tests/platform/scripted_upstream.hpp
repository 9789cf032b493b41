#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
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
        bool m_reset = false; ///< The connection is reset behind them.
        std::string m_endless =
            {}; ///< Sent behind them, each millisecond, until the other side closes.
        std::string m_late = {};                  ///< Sent behind them, after a while.
        std::chrono::milliseconds m_late_after{}; ///< The while.
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
    bool m_overrun = false; ///< An endless answer came to the bound before the other side closed.

    /// Most bytes sent of one endless answer.
    static constexpr std::size_t endless_bound_bytes = std::size_t{16} * 1024 * 1024;

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket socket)
            : m_socket(std::move(socket)), m_pace(m_socket.get_executor())
        {}

        boost::asio::ip::tcp::socket m_socket;
        boost::asio::streambuf m_input;
        boost::asio::steady_timer m_pace; ///< Until the next piece of an endless answer.
        std::string m_endless;            ///< Piece of an endless answer.
        std::size_t m_sent_bytes = 0;     ///< Of the endless answer.
    };

    /// Expires with this upstream, which the loop's pending handlers may outlive.
    std::weak_ptr<char> life() const { return m_life; }

    void accept()
    {
        m_acceptor.async_accept([this, life = life()](boost::system::error_code error,
                                                      boost::asio::ip::tcp::socket socket) {
            if (!error && !life.expired())
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
            [this, peer, life = life()](boost::system::error_code error, std::size_t size) {
                if (life.expired())
                {
                    return;
                }
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
                if (!wanted.m_late.empty())
                {
                    send_late(peer, wanted);
                }
                if (!wanted.m_endless.empty())
                {
                    peer->m_endless = wanted.m_endless;
                    send_endless(peer);
                }
                else if (wanted.m_reset)
                {
                    peer->m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                    peer->m_socket.close(ignored);
                }
                else if (wanted.m_hold)
                {
                    m_held.push_back(peer);
                }
                else if (!wanted.m_close)
                {
                    read(peer);
                }
            });
    }

    static void send_late(const std::shared_ptr<connection>& peer, const reply& wanted)
    {
        const auto delay = std::make_shared<boost::asio::steady_timer>(
            peer->m_socket.get_executor(), wanted.m_late_after);
        delay->async_wait([peer, delay, bytes = wanted.m_late](boost::system::error_code) {
            boost::system::error_code ignored;
            boost::asio::write(peer->m_socket, boost::asio::buffer(bytes), ignored);
        });
    }

    void send_endless(const std::shared_ptr<connection>& peer)
    {
        boost::asio::async_write(
            peer->m_socket, boost::asio::buffer(peer->m_endless),
            [this, peer, life = life()](boost::system::error_code error, std::size_t size) {
                if (life.expired())
                {
                    return;
                }
                if (error)
                {
                    ++m_closed_by_client;
                    return;
                }
                peer->m_sent_bytes += size;
                if (peer->m_sent_bytes > endless_bound_bytes)
                {
                    m_overrun = true;
                    return;
                }
                peer->m_pace.expires_after(std::chrono::milliseconds(1));
                peer->m_pace.async_wait([this, peer, life](boost::system::error_code) {
                    if (!life.expired())
                    {
                        send_endless(peer);
                    }
                });
            });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_answer;
    std::vector<std::shared_ptr<connection>> m_held;
    std::shared_ptr<char> m_life = std::make_shared<char>();
};

} // namespace tarragontrail::test
