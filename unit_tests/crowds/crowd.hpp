#pragma once

#include "tarragontrail/net/http_types.hpp"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace tarragontrail::test {

/// What one client of a crowd sends on each of its connections.
struct crowd_script
{
    std::string m_opening;              ///< Sent first.
    std::string m_piece;                ///< Sent again and again behind it.
    std::size_t m_pieces = 0;           ///< How often; zero for without end.
    std::string m_closing;              ///< Sent behind the last piece.
    std::chrono::milliseconds m_pace{}; ///< Pause before each piece and the closing.
    bool m_reads = true;                ///< Reads what the process sends.
};

class crowd_client;

/// Clients on a thread of their own. Each opens a connection, sends its script, stays, and opens
/// another one when the process has closed it.
class crowd
{
public:
    /// Script of the client with a number.
    using script_maker = std::function<crowd_script(std::size_t)>;

    crowd();
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Adds clients; before the start.
    void add(const net::tcp::endpoint& endpoint, std::size_t clients, const script_maker& script);

    /// Lets all clients begin.
    void start();

    /// Closes all connections.
    void stop();

    /// Bytes that the process has taken, its sockets included.
    std::uint64_t sent_bytes() const noexcept { return m_sent_bytes; }

    /// Connections that were made.
    std::uint64_t connections() const noexcept { return m_connections; }

private:
    friend class crowd_client;

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::shared_ptr<crowd_client>> m_clients;
    std::atomic<std::uint64_t> m_sent_bytes{0};
    std::atomic<std::uint64_t> m_connections{0};
    std::thread m_thread;
};

} // namespace tarragontrail::test
