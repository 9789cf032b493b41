#pragma once

#include <cstdint>
#include <limits>

namespace tarragontrail::core {

/// Sum of two counts, or the largest count when the sum is beyond it.
constexpr std::uint64_t saturating_sum(std::uint64_t first, std::uint64_t second) noexcept
{
    constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    return first > largest - second ? largest : first + second;
}

} // namespace tarragontrail::core
