#include "tarragontrail/net/client_bounds.hpp"

#include <algorithm>

namespace tarragontrail::net {
namespace {

/// Part of the memory that connections hold in the process.
constexpr double held_share = 0.4;

/// Part of the memory that bytes take which have arrived and were not read.
constexpr double unread_share = 0.3;

/// Descriptors that the platform keeps for files.
constexpr std::size_t file_descriptors = 200;

/// Part of the sockets that clients open; most of their requests open another one to an upstream.
constexpr double client_share_of_sockets = 0.55;

} // namespace

std::size_t client_bounds::held_bytes() const noexcept
{
    return static_cast<std::size_t>(static_cast<double>(m_memory_bytes) * held_share);
}

std::size_t client_bounds::connections(double part) const noexcept
{
    const double by_memory =
        static_cast<double>(m_memory_bytes) * unread_share / (2.0 * receive_buffer_bytes);
    const double sockets = m_descriptors > file_descriptors
                               ? static_cast<double>(m_descriptors - file_descriptors)
                               : 0;
    const double all = std::min(by_memory, sockets * client_share_of_sockets);
    return std::max<std::size_t>(1, static_cast<std::size_t>(all * part));
}

} // namespace tarragontrail::net
