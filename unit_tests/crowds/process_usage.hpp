#pragma once

#include <cstddef>
#include <sys/types.h>

namespace tarragontrail::test {

/// What a process takes of its machine.
struct process_usage
{
    std::size_t m_resident_bytes = 0; ///< Memory of the process itself.
    std::size_t m_peak_bytes = 0;     ///< Most of it since the process began.
    std::size_t m_unread_bytes = 0;   ///< Received on its connections and not read by it.
    std::size_t m_descriptors = 0;    ///< Open files and sockets.

    /// What counts toward the memory of its machine.
    std::size_t memory_bytes() const noexcept { return m_resident_bytes + m_unread_bytes; }
};

/// Usage now, as the kernel tells it; nothing of a process that has ended.
process_usage read_usage(pid_t process);

} // namespace tarragontrail::test
