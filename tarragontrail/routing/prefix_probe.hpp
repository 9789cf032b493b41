#pragma once

#include "tarragontrail/routing/cached_block_index.hpp"
#include "tarragontrail/routing/messages.hpp"

#include <cstdint>
#include <span>

namespace tarragontrail::routing {

/// Bounds of the number of leading pieces that are cached.
struct depth_bounds
{
    std::uint64_t m_lower = 0; ///< Pieces known to be cached.
    std::uint64_t m_upper = 0; ///< Pieces that may be cached.

    bool operator==(const depth_bounds&) const = default;
};

constexpr std::size_t max_initial_hashes = 12; ///< Limit of hashes in the first lookup.
constexpr std::size_t max_refining_hashes = 8; ///< Limit of hashes in each later lookup.

/// Fills a request with the depths 1, 4, 16 and so on, the last depth, and those 8, 4, 2 and 1
/// before it.
///
/// Most prompts share everything except a short text at the end, so the depths are denser there.
void fill_initial_probe(std::span<const std::uint64_t> hashes, lookup_request& request);

/// Fills a request with up to max_refining_hashes evenly spaced depths within the bounds. The
/// result is exact if the bounds are at most that many pieces apart.
void fill_refining_probe(std::span<const std::uint64_t> hashes, const depth_bounds& bounds,
                         lookup_request& request);

/// Answers a lookup from a watcher's index. The depth is zero if the index is incomplete or the
/// request is malformed.
lookup_reply answer_lookup(const lookup_request& request, const cached_block_index& index);

} // namespace tarragontrail::routing
