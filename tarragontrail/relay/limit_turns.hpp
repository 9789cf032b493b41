#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/relay/store_clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tarragontrail::relay {

/// Member of the fleet, as far as the turns at limited upstreams depend on it.
struct turn_member
{
    core::instance_id m_instance{};
    bool m_is_heard = false; ///< It is alive, as far as this instance knows.
};

/// Settings of limit_turns.
struct limit_turns_settings
{
    /// A turn that was not used is open for this long, and for the time that this many turns of all
    /// instances take. In any span of time an upstream gets at most what it names for the span and
    /// for that.
    std::chrono::milliseconds m_turn_lifetime{1'600};
    double m_turns_kept = 3;
    /// Turns at one upstream that are open at once, at most.
    std::size_t m_most_open_turns = 64;
    /// Slots looked ahead for the next own turn.
    std::uint64_t m_look_ahead = 4'096;
};

/// Members that share the limits of upstreams, and which of them takes which turn.
///
/// A limit of L requests a second gives L turns a second, numbered by the store's clock. Each turn
/// falls to one member by the hash of upstream, number and member, so that all instances agree
/// without a message. The turns of a member that is not heard fall to the next one, but only where
/// more than half of the members are heard: of two halves of a fleet that do not hear each other,
/// one takes all turns at most, and the other keeps its own.
class turn_order
{
public:
    explicit turn_order(core::instance_id self) : m_self(self) {}

    /// Takes over the members; this instance is one of them, and heard.
    void set_members(std::vector<turn_member> members);

    /// Whether the turn with this number at an upstream is this instance's.
    bool is_own(std::uint64_t upstream, std::uint64_t number) const;

private:
    core::instance_id m_self;
    std::vector<turn_member> m_members;
    bool m_hears_most = true; ///< More than half of the members are heard.
};

/// Turns of this instance at one start of an upstream that names a limit.
class limit_turns
{
public:
    /// `upstream` identifies the upstream's start, alike at all instances.
    explicit limit_turns(std::uint64_t upstream, limit_turns_settings settings = {})
        : m_upstream(upstream), m_settings(settings)
    {}

    /// Sets the requests a second of all instances together; open turns of another rate are lost.
    void set_rate(double per_second, store_time now);

    /// Opens the turns of this instance up to a time, and drops those that were open for too long.
    void refill(const turn_order& order, store_time now);

    /// Turns that may be used now.
    std::size_t open_turns() const noexcept { return m_open.size(); }

    /// A request is sent: uses the oldest open turn.
    void use_turn();

    /// Time until the next turn of this instance; nothing when none comes soon.
    std::optional<std::chrono::milliseconds> next_turn(const turn_order& order,
                                                       store_time now) const;

private:
    store_time turn_lifetime() const;
    std::uint64_t slot_at(store_time time) const;
    store_time start_of(std::uint64_t slot) const;

    std::uint64_t m_upstream;
    limit_turns_settings m_settings;
    double m_per_second = 0;
    std::uint64_t m_next_slot = 0; ///< First slot that was not looked at.
    std::deque<store_time> m_open; ///< When each open turn began, oldest first.
};

} // namespace tarragontrail::relay
