#pragma once

#include <concepts>
#include <cstdint>

namespace tarragontrail::core {

/// Generator of uniformly distributed 64-bit numbers.
template <class Source>
concept random_source = requires(Source& source)
{
    {
        source()
        } -> std::same_as<std::uint64_t>;
};

/// Pseudorandom generator (SplitMix64); equal seeds give equal sequences.
class seeded_random
{
public:
    using result_type = std::uint64_t;

    explicit seeded_random(std::uint64_t seed) noexcept : m_state(seed) {}

    static constexpr std::uint64_t min() noexcept { return 0; }
    static constexpr std::uint64_t max() noexcept { return ~std::uint64_t{0}; }

    /// Next number of the sequence.
    std::uint64_t operator()() noexcept;

    /// Random number in [0, bound); `bound` must not be zero.
    std::uint64_t below(std::uint64_t bound) noexcept { return (*this)() % bound; }

    /// Random number in [0, 1).
    double unit() noexcept;

private:
    std::uint64_t m_state; ///< Advances by a constant with each number.
};

} // namespace tarragontrail::core
