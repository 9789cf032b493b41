#pragma once

#include <concepts>
#include <cstdint>

namespace tarragontrail::core {

/// Source of uniformly distributed 64-bit numbers.
template <class Source>
concept random_source = requires(Source& source)
{
    {
        source()
        } -> std::same_as<std::uint64_t>;
};

/// Small deterministic generator (SplitMix64); the same seed gives the same sequence.
class seeded_random
{
public:
    using result_type = std::uint64_t;

    explicit seeded_random(std::uint64_t seed) noexcept : m_state(seed) {}

    static constexpr std::uint64_t min() noexcept { return 0; }
    static constexpr std::uint64_t max() noexcept { return ~std::uint64_t{0}; }

    /// Next number of the sequence.
    std::uint64_t operator()() noexcept;

    /// Number in [0, bound); bound must not be zero.
    std::uint64_t below(std::uint64_t bound) noexcept { return (*this)() % bound; }

    /// Number in [0, 1).
    double unit() noexcept;

private:
    std::uint64_t m_state; ///< State of the generator; advances by a constant each call.
};

} // namespace tarragontrail::core
