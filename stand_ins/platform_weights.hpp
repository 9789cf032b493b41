#pragma once

#include "tarragontrail/net/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>

namespace tarragontrail::stand_ins {

/// Rate limit of the weight store: two loads run at full rate, more share that rate.
class platform_weights
{
public:
    /// `load_time` is the length of one load at full rate.
    platform_weights(boost::asio::io_context& context, std::chrono::milliseconds load_time);

    /// Begins a load; `on_done` runs at its end.
    void start_load(std::function<void()> on_done);

    /// Most loads that have run at once.
    std::size_t max_concurrent() const noexcept { return m_max_concurrent; }

    /// Loads begun so far.
    std::size_t total() const noexcept { return m_total; }

private:
    /// One load under way.
    struct load
    {
        double m_remaining_s;            ///< Time left at full rate.
        std::function<void()> m_on_done; ///< Runs at the end.
    };

    double rate() const;
    void advance();
    void arm();

    static constexpr std::size_t full_rate_loads = 2;

    net::timer m_timer;                        ///< End of the shortest load.
    std::chrono::duration<double> m_load_time; ///< Length of one load at full rate.
    std::list<load> m_loads;                   ///< Loads under way.
    core::time_point m_advanced_at;            ///< When the remaining times were last updated.
    std::size_t m_max_concurrent = 0;          ///< Most loads at once.
    std::size_t m_total = 0;                   ///< Loads begun.
};

} // namespace tarragontrail::stand_ins
