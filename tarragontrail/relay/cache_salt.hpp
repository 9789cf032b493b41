#pragma once

#include "tarragontrail/placement/order_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragontrail::relay {

/// What cached parts must have in common to be shared: weights, and the workspace when isolated.
///
/// Engines look parts up by this text only, so no request can find a part that was made by other
/// weights or by a workspace behind a wall.
struct cache_salt
{
    placement::weights_version m_version{}; ///< Weights.
    std::uint64_t m_isolation_id = 0;       ///< Isolated workspace; zero for all others.

    bool operator==(const cache_salt&) const = default;
};

/// Text of a salt.
std::string to_string(const cache_salt& salt);

/// Salt in a text; nothing when this project did not write it.
std::optional<cache_salt> parse_cache_salt(std::string_view text);

} // namespace tarragontrail::relay
