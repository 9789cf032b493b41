#include "tarragontrail/net/connection_probe.hpp"

#include "tarragontrail/net/timer.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace tarragontrail::net {

const char* to_string(probe_result result) noexcept
{
    switch (result)
    {
    case probe_result::connected:
        return "connected";
    case probe_result::refused:
        return "refused";
    case probe_result::no_answer:
        return "no_answer";
    }
    return "unknown";
}

void probe_connection(boost::asio::io_context& context, const tcp::endpoint& endpoint,
                      std::chrono::milliseconds limit, std::function<void(probe_result)> handler)
{
    auto socket = std::make_shared<tcp::socket>(context);
    auto deadline = std::make_shared<timer>(context);
    deadline->run_after(limit, [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
    });
    socket->async_connect(endpoint, [socket, deadline, handler = std::move(handler)](
                                        const boost::system::error_code& error) {
        deadline->cancel();
        if (!error)
        {
            handler(probe_result::connected);
            return;
        }
        const bool is_refused = error == boost::asio::error::connection_refused ||
                                error == boost::asio::error::connection_reset;
        handler(is_refused ? probe_result::refused : probe_result::no_answer);
    });
}

} // namespace tarragontrail::net
