#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/relay/fleet_member.hpp"
#include "tarragontrail/relay/limit_turns.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Status that an instance reports of itself.
struct instance_status
{
    core::incarnation m_started{};       ///< Incarnation that sent the report.
    bool m_ready = false;                ///< It serves callers.
    bool m_leaving = false;              ///< It is shutting down.
    bool m_table_store_reachable = true; ///< The table store answers its calls.
    /// Hashes of the names of services whose upstreams it cannot reach.
    std::vector<std::uint64_t> m_cut_off = {};
};

/// Failure domain and region of a caller that asks for addresses.
struct caller_locality
{
    std::string m_failure_domain; ///< Empty when unknown.
    std::string m_region;         ///< Empty when unknown.
};

/// Settings of instance_registry.
struct instance_registry_settings
{
    /// An instance is down when nothing was received from it for this long.
    std::chrono::milliseconds m_peer_timeout{1'000};
    /// A caller gets addresses of its failure domain, or else of its region, if at least this many
    /// are ready.
    std::size_t m_min_nearby = 2;
    /// Upper bound of the addresses in one response.
    std::size_t m_max_addresses = 64;
    /// Instances per region that read the table store.
    std::size_t m_store_readers = 2;
    /// An instance that has been leaving for longer takes up no duty.
    std::chrono::milliseconds m_last_duties{4'000};
    /// An instance that was not heard for this long takes no part in shared limits.
    std::chrono::seconds m_turn_retention{30};
};

/// Instances of the fleet: their rows in the table store list the members, their heartbeats tell
/// which of them are alive.
class instance_registry
{
public:
    instance_registry(fleet_member self, instance_registry_settings settings = {});

    /// Adds or updates a member; returns true when its row has changed.
    bool apply(const fleet_member& member);

    /// Removes an instance whose row is gone, unless it is alive: the table store may have lost the
    /// row by a return from an older copy, and the instance may be cut off from the store.
    void remove(core::instance_id instance, core::time_point now);

    /// Records a status report; returns true when the instance has restarted since its last one.
    bool on_status(core::instance_id instance, const instance_status& status, core::time_point now);

    /// Sets the status of this instance.
    void set_own_status(const instance_status& status, core::time_point now);

    /// All members, this one included.
    const std::map<core::instance_id, fleet_member>& members() const noexcept { return m_members; }

    /// True when the instance sends heartbeats and is not leaving.
    bool is_alive(core::instance_id instance, core::time_point now) const;

    /// True when the instance sends heartbeats, also while it is leaving.
    bool is_present(core::instance_id instance, core::time_point now) const;

    /// True when this start of the instance sends heartbeats, also while it is leaving.
    bool is_present(core::instance_id instance, core::incarnation started,
                    core::time_point now) const;

    /// True when this start of the instance was heard within half of the time after which it is
    /// down.
    bool is_heard_lately(core::instance_id instance, core::incarnation started,
                         core::time_point now) const;

    /// True when another start of the instance sends heartbeats.
    bool has_restarted(core::instance_id instance, core::incarnation started,
                       core::time_point now) const;

    /// True when the instance is alive and serves callers.
    bool is_ready(core::instance_id instance, core::time_point now) const;

    /// True when the instance is ready and reaches the upstreams of all services.
    bool reaches_upstreams(core::instance_id instance, core::time_point now) const;

    /// Another instance that is ready and reaches a service, the near ones first, and is none of
    /// those tried; `draw` chooses among equals. Nothing when there is none.
    std::optional<core::instance_id> peer_reaching(std::uint64_t service,
                                                   const std::vector<core::instance_id>& tried,
                                                   std::uint64_t draw, core::time_point now) const;

    /// Number of instances that are alive, this one included.
    std::size_t alive_count(core::time_point now) const;

    /// True when all members send heartbeats.
    bool hears_all(core::time_point now) const;

    /// Ready instance with the lowest identifier.
    std::optional<core::instance_id> first_ready(core::time_point now) const;

    /// Instance that takes up duties of the fleet: the first ready one, or while none is, the first
    /// of those that have begun to leave a moment ago. `except` has given the duty up.
    std::optional<core::instance_id>
    first_for_duties(core::time_point now,
                     const std::optional<core::instance_id>& except = std::nullopt) const;

    /// True when this instance should read the table store: the first instances of the region by
    /// identifier do, among those that the store answers.
    bool is_store_reader(core::time_point now) const;

    /// Sets the peer timeout; heartbeats are less frequent in a larger fleet.
    void set_peer_timeout(std::chrono::milliseconds timeout)
    {
        m_settings.m_peer_timeout = timeout;
    }

    /// Last status of an instance; null when none was received.
    const instance_status* status_of(core::instance_id instance) const;

    /// Members that share the limits of upstreams: those that were heard a while ago, or may not
    /// have been heard yet.
    std::vector<turn_member> turn_members(core::time_point now);

    /// Addresses of ready instances for a caller; near ones if there are enough.
    std::vector<std::string> addresses_for(const caller_locality& caller,
                                           core::time_point now) const;

private:
    /// Last status received from an instance.
    struct received_status
    {
        instance_status m_status;
        core::time_point m_received{};
        core::time_point m_leaving_since = core::time_point::max();
    };

    fleet_member m_self;
    instance_registry_settings m_settings;
    instance_status m_own_status;
    core::time_point m_own_leaving_since = core::time_point::max();
    std::map<core::instance_id, fleet_member> m_members;     ///< This instance included.
    std::map<core::instance_id, received_status> m_statuses; ///< Other instances.
    /// When members that were never heard became known.
    std::map<core::instance_id, core::time_point> m_known_since;
};

} // namespace tarragontrail::relay
