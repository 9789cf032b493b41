#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace tarragontrail::net {

/// Prepares a connection: small writes leave at once, and the system itself notices within about
/// five seconds that nothing between the two ends knows the connection any more.
void prepare_socket(boost::asio::ip::tcp::socket& socket);

} // namespace tarragontrail::net
