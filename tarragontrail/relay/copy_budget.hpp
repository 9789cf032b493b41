#pragma once

#include "tarragontrail/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace tarragontrail::relay {

/// Keeps copies for other instances to a part of this instance's link, so that callers, heartbeats
/// and its own calls do not wait behind them.
class copy_budget
{
public:
    /// `link_mbps` is the bandwidth of the link in Mbit/s.
    explicit copy_budget(double link_mbps)
        : m_bytes_per_second(link_mbps * link_fraction * bytes_per_megabit)
    {}

    /// Whether a copy may be sent now; its size may exceed what is left.
    bool allows(core::time_point now) const { return m_spent_until <= now + burst; }

    /// A copy of this size was sent.
    void on_sent(std::size_t bytes, core::time_point now)
    {
        const std::chrono::duration<double> time(static_cast<double>(bytes) / m_bytes_per_second);
        m_spent_until =
            std::max(m_spent_until, now) + std::chrono::duration_cast<core::duration>(time);
    }

private:
    static constexpr double link_fraction = 0.5;
    static constexpr double bytes_per_megabit = 125'000;
    /// Transfer time of copies that may be sent at once.
    static constexpr std::chrono::milliseconds burst{200};

    double m_bytes_per_second;
    core::time_point m_spent_until = core::time_point::min(); ///< Copies so far take until then.
};

} // namespace tarragontrail::relay
