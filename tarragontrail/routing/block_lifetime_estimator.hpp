#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace tarragontrail::routing {

/// Learns how long an engine keeps a block, from a bounded sample of its stores and evictions.
class block_lifetime_estimator
{
public:
    explicit block_lifetime_estimator(const cached_block_index_settings& settings)
        : m_settings(settings)
    {}

    /// Notes a stored block; it is sampled when its place in the sample is free or outdated.
    void on_stored(std::uint64_t hash, core::time_point now) noexcept;

    /// Notes an evicted block and learns from it when it was sampled.
    void on_evicted(std::uint64_t hash, core::time_point now) noexcept;

    /// Forgets the sample, as after a restart of the engine; the learned value stays.
    void clear_sample() noexcept { m_sample.fill({}); }

    /// Learned lifetime within the floor and ceiling; zero before anything was learned.
    std::chrono::milliseconds mean() const noexcept;

private:
    /// One sampled block.
    struct stored_block
    {
        std::uint64_t m_hash = 0;       ///< Block; zero for a free place.
        core::time_point m_stored_at{}; ///< When it was stored.
    };

    static constexpr std::size_t sample_size = 256;

    cached_block_index_settings m_settings;           ///< Floor, ceiling and gain.
    std::array<stored_block, sample_size> m_sample{}; ///< Sampled blocks by their hash.
    double m_mean_seconds = 0;                        ///< Moving average.
    bool m_learned = false;                           ///< Whether the average holds anything.
};

} // namespace tarragontrail::routing
