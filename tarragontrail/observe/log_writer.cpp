#include "tarragontrail/observe/log_writer.hpp"

#include <cerrno>
#include <fmt/format.h>
#include <unistd.h>

namespace tarragontrail::observe {
namespace {

std::atomic<log_writer*> current_writer{nullptr};

} // namespace

log_writer::log_writer(int descriptor, log_writer_settings settings)
    : m_descriptor(descriptor), m_settings(settings), m_ring(settings.m_ring_lines),
      m_thread([this] { run(); })
{
    current_writer = this;
}

log_writer::~log_writer()
{
    current_writer = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

log_writer* log_writer::current() noexcept
{
    return current_writer;
}

void log_writer::append(std::string line)
{
    if (!m_ring.try_push(std::move(line)))
    {
        ++m_dropped;
    }
}

void log_writer::run()
{
    bool stopping = false;
    while (!stopping)
    {
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait_for(lock, m_settings.m_interval, [this] { return m_stopping; });
            stopping = m_stopping;
        }
        std::uint64_t allowance = m_settings.m_bytes_per_second *
                                  static_cast<std::uint64_t>(m_settings.m_interval.count()) / 1'000;
        write_all(gather(allowance));
    }
}

std::string log_writer::gather(std::uint64_t& allowance)
{
    std::string bytes;
    while (std::optional<std::string> line = m_ring.try_pop())
    {
        if (line->size() > allowance)
        {
            allowance = 0;
            ++m_dropped;
            continue;
        }
        allowance -= line->size();
        bytes += *line;
    }
    const std::uint64_t dropped = m_dropped;
    if (dropped != m_dropped_told)
    {
        bytes += fmt::format("event=log_lines_dropped count={} total={}\n",
                             dropped - m_dropped_told, dropped);
        m_dropped_told = dropped;
    }
    return bytes;
}

void log_writer::write_all(const std::string& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        const ssize_t size = ::write(m_descriptor, bytes.data() + written, bytes.size() - written);
        if (size < 0 && errno == EINTR)
        {
            continue;
        }
        if (size <= 0)
        {
            // Nobody reads any more; the lines count as dropped with the next ones that are read.
            ++m_dropped;
            return;
        }
        written += static_cast<std::size_t>(size);
    }
}

} // namespace tarragontrail::observe
