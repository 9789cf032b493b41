#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <cstdint>

namespace tarragontrail::routing {

/// Whether cached blocks are copied from another engine or computed again.
enum class block_source
{
    recompute,
    transfer,
};

/// Comparison of copying blocks with computing them.
struct transfer_choice
{
    block_source m_source = block_source::recompute; ///< Faster way.
    core::duration m_transfer_time{};                ///< Time to copy; zero when off.
    core::duration m_recompute_time{};               ///< Time to compute.
};

/// Prefill time of a number of tokens.
core::duration prefill_time(std::uint64_t tokens, double tokens_per_second) noexcept;

/// Weighs copying `pieces` over the link against prefill at the given rate.
transfer_choice choose_transfer(std::uint64_t pieces, double prefill_tokens_per_second,
                                const transfer_settings& settings) noexcept;

} // namespace tarragontrail::routing
