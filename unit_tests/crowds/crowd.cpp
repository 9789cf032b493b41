#include "unit_tests/crowds/crowd.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace tarragontrail::test {

using boost::system::error_code;
using net::tcp;

/// One client of a crowd.
class crowd_client : public std::enable_shared_from_this<crowd_client>
{
public:
    crowd_client(crowd& owner, const tcp::endpoint& endpoint,
                 std::shared_ptr<const crowd_script> script)
        : m_owner(owner), m_endpoint(endpoint), m_script(std::move(script)),
          m_socket(owner.m_context), m_timer(owner.m_context)
    {}

private:
    /// Handler that is dropped when the connection has been replaced.
    template <class Handler>
    auto guarded(Handler handler)
    {
        return [self = shared_from_this(), connection = m_connection,
                handler = std::move(handler)](error_code error, auto... size) {
            if (connection == self->m_connection)
            {
                handler(error, size...);
            }
        };
    }

public:
    void connect()
    {
        m_sent_pieces = 0;
        m_is_closed = false;
        ++m_connection;
        m_socket = tcp::socket(m_owner.m_context);
        m_socket.open(m_endpoint.protocol());
        if (!m_script->m_reads)
        {
            // What the client does not read stays with the process.
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
        }
        m_socket.async_connect(m_endpoint, guarded([this](error_code error) {
                                   if (error)
                                   {
                                       connect_later();
                                       return;
                                   }
                                   ++m_owner.m_connections;
                                   send(m_script->m_opening);
                                   if (m_script->m_reads)
                                   {
                                       read();
                                   }
                               }));
    }

    /// Once the thread has ended.
    void close()
    {
        ++m_connection;
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    void connect_later()
    {
        constexpr std::chrono::milliseconds pause{100};
        ++m_connection;
        error_code ignored;
        m_socket.close(ignored);
        m_timer.expires_after(pause);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error)
            {
                self->connect();
            }
        });
    }

    void send(const std::string& bytes)
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(bytes),
                                 guarded([this](error_code error, std::size_t size) {
                                     m_owner.m_sent_bytes += size;
                                     if (error)
                                     {
                                         connect_later();
                                         return;
                                     }
                                     send_next();
                                 }));
    }

    void send_next()
    {
        const bool has_more = m_script->m_pieces == 0 || m_sent_pieces < m_script->m_pieces;
        if (!m_script->m_piece.empty() && has_more)
        {
            ++m_sent_pieces;
            send_later(m_script->m_piece);
        }
        else if (!m_script->m_closing.empty() && !std::exchange(m_is_closed, true))
        {
            send_later(m_script->m_closing);
        }
    }

    void send_later(const std::string& bytes)
    {
        if (m_script->m_pace.count() == 0)
        {
            send(bytes);
            return;
        }
        m_timer.expires_after(m_script->m_pace);
        m_timer.async_wait(guarded([this, &bytes](error_code error) {
            if (!error)
            {
                send(bytes);
            }
        }));
    }

    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_input),
                                 guarded([this](error_code error, std::size_t) {
                                     if (error)
                                     {
                                         connect_later();
                                         return;
                                     }
                                     read();
                                 }));
    }

    crowd& m_owner;
    tcp::endpoint m_endpoint;
    std::shared_ptr<const crowd_script> m_script;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<char, 4096> m_input{};
    std::size_t m_sent_pieces = 0;  ///< On this connection.
    bool m_is_closed = false;       ///< The closing bytes were sent on it.
    std::uint64_t m_connection = 0; ///< Its number.
};

crowd::crowd() : m_work(m_context.get_executor()) {}

crowd::~crowd()
{
    stop();
}

void crowd::add(const tcp::endpoint& endpoint, std::size_t clients, const script_maker& script)
{
    // Clients whose scripts are alike share one.
    std::vector<std::shared_ptr<const crowd_script>> scripts;
    constexpr std::size_t kinds = 8;
    for (std::size_t i = 0; i < std::min(kinds, clients); ++i)
    {
        scripts.push_back(std::make_shared<const crowd_script>(script(i)));
    }
    for (std::size_t i = 0; i < clients; ++i)
    {
        m_clients.push_back(
            std::make_shared<crowd_client>(*this, endpoint, scripts.at(i % scripts.size())));
    }
}

void crowd::start()
{
    for (const auto& client : m_clients)
    {
        client->connect();
    }
    m_thread = std::thread([this] { m_context.run(); });
}

void crowd::stop()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
    for (const auto& client : m_clients)
    {
        client->close();
    }
    m_clients.clear();
}

} // namespace tarragontrail::test
