#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace tarragontrail::net {

/// Prepares a connection: small writes leave at once, and the system itself notices within about
/// five seconds that nothing between the two ends knows the connection any more.
void prepare_socket(boost::asio::ip::tcp::socket& socket);

/// Whether the connection has broken, as by a reset; a closed socket counts as broken.
bool is_broken(boost::asio::ip::tcp::socket& socket);

/// Whether the other side has yet to acknowledge bytes that were written. False where the system
/// does not tell.
bool has_unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

} // namespace tarragontrail::net
