#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <optional>
#include <vector>

namespace tarragontrail::relay {

/// Weights that operators named for a model.
class target_weights_history
{
public:
    /// A version was named; older ones than the newest are ignored. Returns true when it is news.
    bool add_version(placement::weights_version version, core::time_point now);

    /// Newest version.
    placement::weights_version newest_version() const noexcept
    {
        return m_versions.empty() ? placement::weights_version{} : m_versions.back().m_version;
    }

    /// When the first version newer than this one was named; nothing when there is none.
    std::optional<core::time_point> stale_since(placement::weights_version version) const;

private:
    /// One version that was named.
    struct version_entry
    {
        placement::weights_version m_version{}; ///< Version.
        core::time_point m_learned{};           ///< When this instance learned of it.
    };

    static constexpr std::size_t max_versions =
        64; ///< Versions remembered; older engines count as due.

    std::vector<version_entry> m_versions; ///< Oldest first.
};

} // namespace tarragontrail::relay
