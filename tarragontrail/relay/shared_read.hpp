#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/net/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <vector>

namespace tarragontrail::relay {

/// Settings of shared_read.
struct shared_read_settings
{
    /// Least time from the begin of one read to that of the next.
    std::chrono::milliseconds m_interval{100};
    /// Same after a read that failed.
    std::chrono::milliseconds m_interval_after_failure{400};
};

/// One read for all that ask while it is due: whoever asks gets a read that begins afterwards.
class shared_read
{
public:
    /// Told whether what was read is known here now.
    using handler = std::function<void(bool is_read)>;

    /// `read` makes one read.
    shared_read(boost::asio::io_context& context, shared_read_settings settings,
                std::function<void(handler)> read)
        : m_settings(settings), m_read(std::move(read)), m_timer(context)
    {}

    /// Asks for a read that begins now or later.
    void ask(handler on_read);

private:
    void schedule();
    void begin();

    shared_read_settings m_settings;
    std::function<void(handler)> m_read;
    net::timer m_timer;
    std::vector<handler> m_waiting; ///< For the next read.
    core::time_point m_next{};      ///< Earliest begin of the next read.
    bool m_is_due = false;          ///< A read is scheduled or under way.
};

} // namespace tarragontrail::relay
