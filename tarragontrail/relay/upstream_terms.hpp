#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/relay/store_clock.hpp"

#include <chrono>
#include <optional>

namespace tarragontrail::relay {

/// What an upstream says of itself in an answer, whatever the answer is.
struct upstream_notice
{
    /// Requests a second that it takes from all instances together; nothing for any number.
    std::optional<double> m_requests_per_second;
    /// It wants no request of this instance for this long.
    std::optional<std::chrono::milliseconds> m_wait;
    bool m_is_leaving = false; ///< It is shutting down.
};

/// Rate that an upstream named, and when.
struct named_limit
{
    double m_per_second = 0; ///< Requests from all instances together; zero for any number.
    store_time m_said_at{};  ///< By the store's clock, which all instances share.

    bool operator==(const named_limit&) const = default;
};

/// On which terms one start of an upstream takes requests, by what it said in its last answers.
///
/// Its limit holds for all instances, so they tell each other the newest one; a wait holds for the
/// instance that it asked. What one start said does not hold for the next.
class upstream_terms
{
public:
    /// Longest wait that an upstream is granted.
    static constexpr std::chrono::milliseconds max_wait{60'000};

    /// An answer of the upstream has arrived; returns whether its limit has changed.
    bool on_notice(const upstream_notice& notice, store_time store_now, core::time_point now);

    /// Another instance has told a limit; returns whether it is a newer and another one.
    bool on_limit(const named_limit& limit);

    /// Last limit named or ended; nothing when none ever was.
    const std::optional<named_limit>& limit() const noexcept { return m_limit; }

    /// Requests a second that it takes from all instances together; nothing for any number.
    std::optional<double> requests_per_second() const;

    /// True while it wants no request of this instance.
    bool is_waiting(core::time_point now) const { return now < m_waits_until; }

    /// End of the wait that it asked for.
    core::time_point waits_until() const noexcept { return m_waits_until; }

    /// True once it has said that it leaves.
    bool is_leaving() const noexcept { return m_is_leaving; }

private:
    std::optional<named_limit> m_limit;
    core::time_point m_waits_until = core::time_point::min();
    bool m_is_leaving = false;
};

} // namespace tarragontrail::relay
