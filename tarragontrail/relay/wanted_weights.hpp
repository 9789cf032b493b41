#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <optional>
#include <vector>

namespace tarragontrail::relay {

/// Weights that operators named for a model.
class wanted_weights
{
public:
    /// A version was named; older ones than the newest are ignored. Returns true when it is news.
    bool name(placement::weights_version version, core::time_point now);

    /// Newest version.
    placement::weights_version newest() const noexcept
    {
        return m_named.empty() ? placement::weights_version{} : m_named.back().m_version;
    }

    /// When the first version newer than this one was named; nothing when there is none.
    std::optional<core::time_point> stale_since(placement::weights_version version) const;

private:
    /// One version that was named.
    struct named_version
    {
        placement::weights_version m_version{}; ///< Version.
        core::time_point m_at{};                ///< When this instance learned of it.
    };

    static constexpr std::size_t most_kept =
        64; ///< Versions remembered; older engines count as due.

    std::vector<named_version> m_named; ///< Oldest first.
};

} // namespace tarragontrail::relay
