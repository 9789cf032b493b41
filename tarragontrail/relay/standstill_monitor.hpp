#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>

namespace tarragontrail::relay {

/// Settings of standstill_monitor.
struct standstill_monitor_settings
{
    /// Checks that come later than this after the last one end a standstill.
    std::chrono::milliseconds m_late_check{800};
    /// Time after a standstill in which what waited for its end is read.
    std::chrono::milliseconds m_catch_up{1'500};
};

/// Tells for how long what an instance reads now may have waited to be read.
///
/// Fault: a process that was stopped finds requests that came meanwhile, and takes them for new.
/// All times are those of a clock that counts the time for which the instance was suspended.
class standstill_monitor
{
public:
    explicit standstill_monitor(standstill_monitor_settings settings = {}) : m_settings(settings) {}

    /// A periodic check runs. Returns whether the instance has stood still before it.
    bool on_check(core::time_point now);

    /// Longest time for which bytes that are read now may have waited.
    core::duration unread_time(core::time_point now) const;

private:
    bool is_late(core::time_point now) const;

    standstill_monitor_settings m_settings;
    core::time_point m_last_check{}; ///< Zero before the first one.
    core::time_point m_begin{};      ///< Start of the last standstill.
    core::time_point m_read_until{}; ///< What it has kept waiting is read by then.
};

} // namespace tarragontrail::relay
