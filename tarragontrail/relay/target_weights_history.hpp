#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tarragontrail::relay {

/// Versions of a model's weights that operators requested.
class target_weights_history
{
public:
    /// Version and the time at which it was requested.
    struct naming
    {
        placement::weights_version m_version{};
        core::time_point m_at{};
    };

    /// Adds a version that was requested a moment ago and returns true, unless a newer or equal one
    /// is known.
    bool add_version(placement::weights_version version, core::time_point now);

    /// Same for a version that this instance finds at its start, requested at a time that it does
    /// not know: it counts as requested long ago.
    bool add_found_version(placement::weights_version version, core::time_point now);

    /// Another instance learned of a version at this time.
    void set_time(placement::weights_version version, core::time_point at);

    /// Newest version; zero when there is none.
    placement::weights_version newest_version() const noexcept
    {
        return m_versions.empty() ? placement::weights_version{} : m_versions.back().m_version;
    }

    /// When the first version newer than this one was requested; nothing when there is none.
    std::optional<core::time_point> stale_since(placement::weights_version version) const;

    /// Versions with a known time, oldest first.
    std::vector<naming> dated_versions() const;

private:
    /// One requested version.
    struct version_entry
    {
        placement::weights_version m_version{};
        core::time_point m_requested{}; ///< As far as known.
        bool m_is_dated = true;         ///< That time is known.
    };

    bool add(const version_entry& entry);

    /// Versions kept; engines with older ones count as stale since the oldest kept.
    static constexpr std::size_t max_versions = 64;
    /// Age of a version whose time is not known.
    static constexpr std::chrono::hours unknown_age{1};

    std::vector<version_entry> m_versions; ///< Oldest first.
    /// Times of versions that are not known yet.
    std::map<placement::weights_version, core::time_point> m_times;
};

} // namespace tarragontrail::relay
