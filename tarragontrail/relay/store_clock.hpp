#pragma once

#include "tarragontrail/core/clock.hpp"

#include <chrono>
#include <optional>

namespace tarragontrail::relay {

/// Time of the table store's steady clock, which all instances can read.
using store_time = std::chrono::milliseconds;

/// The table store's clock, as far as the times that it showed tell.
///
/// It is not ahead of the store's own, unless that was set back a moment ago: a time that is shown
/// has passed when it arrives.
class store_clock
{
public:
    /// The table store's clock showed this time, which has passed since.
    void set(store_time shown, core::time_point now)
    {
        const auto estimate = at(now);
        if (estimate && shown < *estimate && !is_set_back(*estimate - shown, now))
        {
            return;
        }
        m_set_back_since.reset();
        m_shown = shown;
        m_shown_at = now;
    }

    /// Time of the store's clock; nothing before the first one is known.
    std::optional<store_time> at(core::time_point now) const
    {
        if (!m_shown)
        {
            return std::nullopt;
        }
        return *m_shown + std::chrono::duration_cast<store_time>(now - m_shown_at);
    }

private:
    /// Whether the store's clock was set back. A time that was long on its way is late too, but not
    /// every one that is seen for a while.
    bool is_set_back(store_time late, core::time_point now)
    {
        constexpr store_time least_step = std::chrono::seconds(10);
        constexpr std::chrono::seconds least_time{1};
        if (late < least_step)
        {
            m_set_back_since.reset();
            return false;
        }
        m_set_back_since = m_set_back_since.value_or(now);
        return now - *m_set_back_since >= least_time;
    }

    std::optional<store_time> m_shown;
    std::optional<core::time_point> m_set_back_since; ///< First of the late times in a row.
    core::time_point m_shown_at{};                    ///< When it was known.
};

} // namespace tarragontrail::relay
