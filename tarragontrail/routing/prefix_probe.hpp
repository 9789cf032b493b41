#pragma once

#include "tarragontrail/routing/engine_index.hpp"
#include "tarragontrail/routing/messages.hpp"

#include <cstdint>
#include <span>

namespace tarragontrail::routing {

/// Bracket of a cached depth: at least lower and at most upper pieces.
struct depth_bracket
{
    std::uint64_t m_lower = 0; ///< Pieces known to be cached.
    std::uint64_t m_upper = 0; ///< Pieces that may be cached.

    bool operator==(const depth_bracket&) const = default;
};

constexpr std::size_t max_probe_hashes = 16; ///< Hashes in one lookup request.

/// Fills depths 1, 2, 4, 8 and so on, and the last, with their hashes.
void fill_first_probe(std::span<const std::uint64_t> hashes, lookup_request& request);

/// Fills up to max_probe_hashes evenly spaced depths inside a bracket; exact if it is as narrow.
void fill_settling_probe(std::span<const std::uint64_t> hashes, const depth_bracket& bracket,
                         lookup_request& request);

/// The watcher's answer. An index that is unknown, or a malformed request, gives depth zero.
lookup_reply answer_lookup(const lookup_request& request, const engine_index& index);

} // namespace tarragontrail::routing
