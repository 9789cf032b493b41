#pragma once

#include <chrono>

namespace tarragontrail::core {

/// Monotonic clock of the runtime; tests pause it and advance it by hand.
///
/// While it is not paused it reads the operating system's monotonic clock. All members are safe to
/// call from any thread.
class runtime_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock, duration>;
    static constexpr bool is_steady = true;

    /// Current time; stands still while the clock is paused.
    static time_point now() noexcept;

    /// Stops the clock at its current reading.
    static void pause() noexcept;

    /// Moves a paused clock forward; has no effect on a running clock.
    static void advance(duration step) noexcept;

    /// True while the clock stands still.
    static bool is_paused() noexcept;

    /// Lets the clock run again from the operating system's reading.
    static void resume() noexcept;
};

/// Length of time in the runtime clock's unit, nanoseconds.
using duration = runtime_clock::duration;

/// Reading of the runtime clock.
using time_point = runtime_clock::time_point;

/// A length of time multiplied by a factor.
inline duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

} // namespace tarragontrail::core
