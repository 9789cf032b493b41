#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <optional>
#include <vector>

namespace tarragontrail::relay {

/// Versions of a model's weights that operators requested.
class target_weights_history
{
public:
    /// Adds a requested version and returns true, unless a newer or equal one is known.
    bool add_version(placement::weights_version version, core::time_point now);

    /// Newest version; zero when there is none.
    placement::weights_version newest_version() const noexcept
    {
        return m_versions.empty() ? placement::weights_version{} : m_versions.back().m_version;
    }

    /// When the first version newer than this one was requested; nothing when there is none.
    std::optional<core::time_point> stale_since(placement::weights_version version) const;

private:
    /// One requested version.
    struct version_entry
    {
        placement::weights_version m_version{};
        core::time_point m_learned{}; ///< When this instance learned of it.
    };

    /// Versions kept; engines with older ones count as stale since the oldest kept.
    static constexpr std::size_t max_versions = 64;

    std::vector<version_entry> m_versions; ///< Oldest first.
};

} // namespace tarragontrail::relay
