#pragma once

#include "tarragontrail/routing/cached_block_index.hpp"
#include "tarragontrail/routing/messages.hpp"

#include <cstdint>
#include <span>

namespace tarragontrail::routing {

/// Bracket of a cached depth: at least lower and at most upper pieces.
struct depth_bounds
{
    std::uint64_t m_lower = 0; ///< Pieces known to be cached.
    std::uint64_t m_upper = 0; ///< Pieces that may be cached.

    bool operator==(const depth_bounds&) const = default;
};

constexpr std::size_t max_initial_hashes = 12; ///< Hashes in the first question.
constexpr std::size_t max_refining_hashes = 8; ///< Hashes in a later question.

/// Fills depths 1, 4, 16 and so on, and the last with those 1, 2, 4 and 8 before it.
///
/// Prompts mostly share all but a short text of their own at the end, so most depths lie there.
void fill_initial_probe(std::span<const std::uint64_t> hashes, lookup_request& request);

/// Fills up to max_refining_hashes evenly spaced depths inside a bracket; exact if it is as narrow.
void fill_refining_probe(std::span<const std::uint64_t> hashes, const depth_bounds& bounds,
                         lookup_request& request);

/// The watcher's answer. An index that is unknown, or a malformed request, gives depth zero.
lookup_reply answer_lookup(const lookup_request& request, const cached_block_index& index);

} // namespace tarragontrail::routing
