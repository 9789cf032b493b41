#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <cstdint>

namespace tarragontrail::routing {

/// Whether missing blocks are computed by prefill or copied from another engine.
enum class block_source
{
    recompute,
    transfer,
};

/// Estimated times of copying blocks and of computing them.
struct transfer_choice
{
    block_source m_source = block_source::recompute; ///< Faster of the two.
    core::duration m_transfer_time{};  ///< Time to copy; zero while transfers are disabled.
    core::duration m_recompute_time{}; ///< Time to prefill.
};

core::duration prefill_time(std::uint64_t tokens, double tokens_per_second) noexcept;

/// Compares copying `pieces` from another engine with prefill at the given rate.
transfer_choice choose_transfer(std::uint64_t pieces, double prefill_tokens_per_second,
                                const transfer_settings& settings) noexcept;

} // namespace tarragontrail::routing
