#pragma once

#include "tarragontrail/core/bounded_ring.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace tarragontrail::observe {

/// Settings of log_writer.
struct log_writer_settings
{
    std::size_t m_ring_lines = 2'048;           ///< Lines that wait at most; more are dropped.
    std::chrono::milliseconds m_interval{100};  ///< Time between writes.
    std::uint64_t m_bytes_per_second = 400'000; ///< Bytes written at most; more lines are dropped.
};

/// Writes log lines on a thread of its own, so that a slow reader never holds up another duty.
///
/// Lines beyond the bounds are dropped, counted, and the count is logged.
class log_writer
{
public:
    /// Takes over all lines of the process until it is destroyed; one at a time.
    log_writer(int descriptor, log_writer_settings settings);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /// The writer in charge; null when there is none.
    static log_writer* current() noexcept;

    /// Hands over a line; never blocks on the descriptor.
    void append(std::string line);

    /// Lines dropped since the start.
    std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    void run();
    std::string gather(std::uint64_t& allowance);
    void write_all(const std::string& bytes);

    int m_descriptor;                        ///< Where lines go.
    log_writer_settings m_settings;          ///< Bounds.
    core::bounded_ring<std::string> m_ring;  ///< Lines from the other duties.
    std::atomic<std::uint64_t> m_dropped{0}; ///< Lines dropped.
    std::uint64_t m_dropped_told = 0;        ///< Of these, lines that the log speaks of.
    std::mutex m_mutex;                      ///< Guards m_stopping.
    std::condition_variable m_wake;          ///< Ends the pause at the end of the process.
    bool m_stopping = false;                 ///< The owner is being destroyed.
    std::thread m_thread;                    ///< Runs until then.
};

} // namespace tarragontrail::observe
