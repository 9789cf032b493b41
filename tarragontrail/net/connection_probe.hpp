#pragma once

#include "tarragontrail/net/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace tarragontrail::net {

/// Result of an attempt to connect.
enum class probe_result
{
    connected, ///< The server accepted the connection.
    refused,   ///< Nothing listens at the address.
    no_answer, ///< Neither within the time limit, or the attempt failed here.
};

/// Name of a result in logs.
const char* to_string(probe_result result) noexcept;

/// Opens a connection and closes it at once: a request might have an effect at the server. The
/// handler runs once, on the context.
void probe_connection(boost::asio::io_context& context, const tcp::endpoint& endpoint,
                      std::chrono::milliseconds limit, std::function<void(probe_result)> handler);

} // namespace tarragontrail::net
