#pragma once

#include "tarragontrail/core/clock.hpp"

namespace tarragontrail::relay {

/// Which requests an instance accepts while it drains.
///
/// Callers may use an outdated address of a leaving instance. At first every request is served;
/// later one that could outlast the drain is refused at once, while its caller has time to use
/// another instance, because it would be aborted.
struct drain_window
{
    core::time_point m_accepts_all_until{}; ///< Every request is accepted until then.
    core::time_point m_end{};               ///< Requests that still run then are aborted.

    /// Whether to accept a request that arrives now and may run until its deadline.
    bool accepts(core::time_point now, core::time_point deadline) const noexcept
    {
        return now <= m_accepts_all_until || deadline <= m_end;
    }
};

} // namespace tarragontrail::relay
