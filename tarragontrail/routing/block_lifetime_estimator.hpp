#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace tarragontrail::routing {

/// Estimates how long an engine keeps a block in its cache, from a bounded sample of stored and
/// evicted blocks.
class block_lifetime_estimator
{
public:
    explicit block_lifetime_estimator(const cached_block_index_settings& settings)
        : m_settings(settings)
    {}

    /// Records a stored block if its slot in the sample is free or outdated.
    void on_stored(std::uint64_t hash, core::time_point now) noexcept;

    /// Records an evicted block; updates the estimate if the block was sampled.
    void on_evicted(std::uint64_t hash, core::time_point now) noexcept;

    /// Clears the sample, for example after a restart of the engine; the estimate is kept.
    void clear_sample() noexcept { m_sample.fill({}); }

    /// Estimated lifetime, clamped to the floor and ceiling; zero until a sampled block is evicted.
    std::chrono::milliseconds estimate() const noexcept;

private:
    /// Sampled block.
    struct stored_block
    {
        std::uint64_t m_hash = 0; ///< Hash of the block; zero marks a free slot.
        core::time_point m_stored_at{};
    };

    static constexpr std::size_t sample_size = 256;

    cached_block_index_settings m_settings;           ///< Floor, ceiling and gain of the estimate.
    std::array<stored_block, sample_size> m_sample{}; ///< Slots; the block's hash selects one.
    double m_mean_seconds = 0;                        ///< Exponential moving average, in seconds.
    bool m_learned = false; ///< Whether the average contains any eviction.
};

} // namespace tarragontrail::routing
