#include "tarragontrail/net/socket_options.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tarragontrail::net {
namespace {

constexpr int keep_alive_idle_seconds = 2;
constexpr int keep_alive_interval_seconds = 1;
constexpr int keep_alive_probes = 3;
constexpr unsigned unacknowledged_limit_milliseconds = 5000;

template <class Value>
void set(int descriptor, int option, Value value)
{
    // A system without the option only notices later.
    setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace

void prepare_socket(boost::asio::ip::tcp::socket& socket)
{
    using boost::asio::ip::tcp;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int descriptor = socket.native_handle();
    set(descriptor, TCP_KEEPIDLE, keep_alive_idle_seconds);
    set(descriptor, TCP_KEEPINTVL, keep_alive_interval_seconds);
    set(descriptor, TCP_KEEPCNT, keep_alive_probes);
    set(descriptor, TCP_USER_TIMEOUT, unacknowledged_limit_milliseconds);
}

bool is_broken(boost::asio::ip::tcp::socket& socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
           error != 0;
}

bool has_unacknowledged_bytes(boost::asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace tarragontrail::net
