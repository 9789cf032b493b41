#pragma once

#include "tarragontrail/core/clock.hpp"

namespace tarragontrail::relay {

/// What a leaving instance still takes.
///
/// Answers callers that keep an older address: those that come soon are served whatever they ask
/// for; later, a request that may outlast the drain would be cut, so it is refused at once while
/// its caller has time to go elsewhere.
struct drain_window
{
    core::time_point m_accepts_all_until{}; ///< Every request is taken until then.
    core::time_point m_end{};               ///< Requests that still run then are cut.

    /// Whether a request that arrives now, and may run until its deadline, is taken.
    bool accepts(core::time_point now, core::time_point deadline) const noexcept
    {
        return now <= m_accepts_all_until || deadline <= m_end;
    }
};

} // namespace tarragontrail::relay
