#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <fmt/format.h>
#include <string>

namespace tarragontrail::relay {

/// Duration in milliseconds, with fractions.
inline double milliseconds_of(core::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Duration in milliseconds with one decimal, for log lines.
inline std::string rounded_milliseconds(core::duration time)
{
    return fmt::format("{:.1f}", milliseconds_of(time));
}

/// Duration in whole milliseconds, rounded towards zero.
inline std::chrono::milliseconds whole_milliseconds(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace tarragontrail::relay
