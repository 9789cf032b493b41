#pragma once

#include "tarragontrail/placement/order_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragontrail::relay {

/// Separates cached parts that must not be shared: by weights version and by isolated workspace.
///
/// Engines look up parts by the text of the salt, so a request never finds a part that was computed
/// with other weights or for another isolated workspace.
struct cache_salt
{
    placement::weights_version m_version{};
    std::uint64_t m_isolation_id = 0; ///< Isolated workspace; zero for workspaces that share parts.

    bool operator==(const cache_salt&) const = default;
};

/// Text of a salt: `v<version>`, or `v<version>-<isolation id in hex>`.
std::string to_string(const cache_salt& salt);

/// Parses the text of a salt; nothing when to_string did not produce it.
std::optional<cache_salt> parse_cache_salt(std::string_view text);

} // namespace tarragontrail::relay
