#pragma once

#include <chrono>

namespace tarragontrail::core {

/// Monotonic clock of the whole process, which tests can pause and advance.
///
/// While it is not paused it returns the time of the operating system's monotonic clock. All
/// members are thread-safe.
class runtime_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock, duration>;
    static constexpr bool is_steady = true;

    /// Current time; constant while the clock is paused.
    static time_point now() noexcept;

    /// Pauses the clock at its current time; has no effect on a paused clock.
    static void pause() noexcept;

    /// Advances a paused clock; has no effect on a running clock.
    static void advance(duration step) noexcept;

    static bool is_paused() noexcept;

    /// Resumes the clock at the operating system's current time.
    static void resume() noexcept;
};

/// Duration in nanoseconds, the unit of runtime_clock.
using duration = runtime_clock::duration;

/// Point in time of runtime_clock.
using time_point = runtime_clock::time_point;

/// Time of a monotonic clock that also counts the time for which the machine was suspended; that of
/// runtime_clock while it is paused.
time_point suspension_counting_now() noexcept;

/// Product of a duration and a factor.
inline duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

} // namespace tarragontrail::core
