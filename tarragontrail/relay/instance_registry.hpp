#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/relay/fleet_member.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// What an instance said of itself last.
struct instance_status
{
    core::incarnation m_started{};       ///< Incarnation that speaks.
    bool m_ready = false;                ///< It serves callers.
    bool m_leaving = false;              ///< It is shutting down.
    bool m_table_store_reachable = true; ///< The platform's store answers it, as far as it knows.
};

/// Where a caller that asks for addresses stands.
struct caller_locality
{
    std::string m_failure_domain; ///< Failure domain; empty when it is not known.
    std::string m_region;         ///< Region; empty when it is not known.
};

/// Settings of fleet_roster.
struct instance_registry_settings
{
    std::chrono::milliseconds m_peer_timeout{
        1'000};                       ///< An instance that is silent for so long is down.
    std::size_t m_min_nearby = 2;     ///< So many instances of one domain are enough for a caller.
    std::size_t m_max_addresses = 64; ///< Addresses in one answer.
    std::size_t m_store_readers = 2;  ///< Instances of a region that follow the store.
};

/// Entry instances of the fleet: from rows in the store who they are, from their words who lives.
class instance_registry
{
public:
    instance_registry(fleet_member self, instance_registry_settings settings = {});

    /// Takes over an instance's row; returns true when it was news.
    bool apply(const fleet_member& member);

    /// An instance's row is gone.
    void remove(core::instance_id instance);

    /// An instance spoke; returns true when it has started anew since it spoke last.
    bool on_status(core::instance_id instance, const instance_status& status, core::time_point now);

    /// Sets what this instance says of itself.
    void set_own_status(const instance_status& status) { m_own_status = status; }

    /// All instances, this one included.
    const std::map<core::instance_id, fleet_member>& members() const noexcept { return m_members; }

    /// The instance speaks and is not leaving.
    bool is_alive(core::instance_id instance, core::time_point now) const;

    /// The instance speaks, serves callers and is not leaving.
    bool is_ready(core::instance_id instance, core::time_point now) const;

    /// Instances that speak, this one included.
    std::size_t alive_count(core::time_point now) const;

    /// The instance with the lowest identifier among those that are ready.
    std::optional<core::instance_id> first_ready(core::time_point now) const;

    /// The living instance of a region with the lowest identifier: it speaks for the region.
    std::optional<core::instance_id> gateway_of(const std::string& region,
                                                core::time_point now) const;

    /// Instances of this region that follow the store: the first ones that it answers.
    bool is_store_reader(core::time_point now) const;

    /// An instance speaks more seldom in a larger fleet, so its silence means less.
    void set_peer_timeout(std::chrono::milliseconds timeout)
    {
        m_settings.m_peer_timeout = timeout;
    }

    /// Last word of an instance; null when it never spoke.
    const instance_status* status_of(core::instance_id instance) const;

    /// Addresses for a caller: those near it, or more when there are few.
    std::vector<std::string> addresses_for(const caller_locality& caller,
                                           core::time_point now) const;

private:
    /// Last word of an instance.
    struct received_status
    {
        instance_status m_status;      ///< Word.
        core::time_point m_received{}; ///< When it came.
    };

    fleet_member m_self;                                     ///< This instance.
    instance_registry_settings m_settings;                   ///< Settings.
    instance_status m_own_status;                            ///< What this instance says.
    std::map<core::instance_id, fleet_member> m_members;     ///< By instance.
    std::map<core::instance_id, received_status> m_statuses; ///< By instance.
};

} // namespace tarragontrail::relay
