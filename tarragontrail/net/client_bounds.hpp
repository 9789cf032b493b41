#pragma once

#include <cstddef>

namespace tarragontrail::net {

/// Bounds on what clients make a process hold, by what its machine has. The rest is for the
/// process itself and for its own connections.
class client_bounds
{
public:
    /// `descriptors` counts files and sockets.
    client_bounds(std::size_t memory_bytes, std::size_t descriptors) noexcept
        : m_memory_bytes(memory_bytes), m_descriptors(descriptors)
    {}

    /// Most bytes that connections hold in the process.
    std::size_t held_bytes() const noexcept;

    /// Most connections of a listener that has this part of all of them.
    std::size_t connections(double part) const noexcept;

    /// Size of a connection's receive queue; the system allows twice as much.
    static constexpr int receive_buffer_bytes = 16 * 1024;

    /// Same for the connections that are opened for their requests.
    static constexpr int upstream_receive_buffer_bytes = 32 * 1024;

private:
    std::size_t m_memory_bytes;
    std::size_t m_descriptors;
};

} // namespace tarragontrail::net
