#include "tarragontrail/routing/transfer_choice.hpp"

#include "tarragontrail/routing/prefix_chain.hpp"

#include <algorithm>

namespace tarragontrail::routing {

namespace {

/// Limit of an estimate, one day; keeps the conversion to core::duration in range.
constexpr double max_estimate_seconds = 86'400.0;

core::duration from_seconds(double seconds) noexcept
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, max_estimate_seconds)));
}

} // namespace

core::duration prefill_time(std::uint64_t tokens, double tokens_per_second) noexcept
{
    return from_seconds(static_cast<double>(tokens) / std::max(tokens_per_second, 1.0));
}

transfer_choice choose_transfer(std::uint64_t pieces, double prefill_tokens_per_second,
                                const transfer_settings& settings) noexcept
{
    transfer_choice choice;
    choice.m_recompute_time = prefill_time(pieces * tokens_per_piece, prefill_tokens_per_second);
    if (pieces == 0 || settings.m_link_bytes_per_second <= 0)
    {
        return choice;
    }
    const double bytes = static_cast<double>(pieces) * settings.m_bytes_per_piece;
    choice.m_transfer_time =
        from_seconds(bytes / settings.m_link_bytes_per_second) + settings.m_setup_time;
    if (choice.m_transfer_time < choice.m_recompute_time)
    {
        choice.m_source = block_source::transfer;
    }
    return choice;
}

} // namespace tarragontrail::routing
