#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/core/random.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tarragontrail::limits {

/// Settings of demand_share.
struct demand_share_settings
{
    std::chrono::milliseconds m_demand_time_constant{
        1'500}; ///< Time constant of the demand's mean.
    std::chrono::milliseconds m_peer_timeout{
        1'500}; ///< A peer that tells nothing for so long is silent.
    std::chrono::milliseconds m_reservation_time{
        20'000};                  ///< A silent peer's share stays reserved so long.
    double m_even_fraction = 0.1; ///< Part of the limit that is split evenly, whatever the demand.
    double m_initial_fill = 0.5;  ///< Part of its burst that a bucket starts with.
    double m_scarcity_threshold =
        0.3; ///< Below this part of the burst, instances keep to their parts.
    double m_report_threshold =
        0.5; ///< A word is due after this part of an even split of the burst.
    double m_region_report_threshold =
        0.125; ///< The same for a region, as a part of the whole burst.
};

/// Rate and burst of one workspace over the whole fleet, in units.
struct fleet_limit
{
    double m_rate = 0;  ///< Units a second; zero stands for no limit.
    double m_burst = 0; ///< Units at once.

    bool operator==(const fleet_limit&) const = default;
};

/// What one instance tells the others of a workspace.
struct workspace_demand
{
    core::workspace_id m_workspace{}; ///< Workspace.
    double m_demand = 0;              ///< Units asked for a second, refused ones included.
    double m_taken = 0;               ///< Units taken since the start of the instance.
    double m_share = 0;               ///< Part of the fleet's limit that it uses, from 0 to 1.
    double m_reserved = 0;            ///< Part that is kept for instances that are not heard.
};

/// This instance's part of each workspace's fleet-wide rate and burst.
///
/// While the fleet's bucket, as far as it is known here, is well filled, any instance may take from
/// it: a few large requests at one instance are no reason to refuse. Once it is scarce, each keeps
/// to a part that follows the demand that instances tell each other, since what others take
/// meanwhile is known late. The part of an instance that falls silent stays reserved, since it may
/// be cut off and still serve callers: so the parts of both sides of a partition add up to the
/// whole at most. Answers a workspace that sends many times its limit, through any of the
/// instances.
class demand_share
{
public:
    explicit demand_share(core::instance_id self, demand_share_settings settings = {});

    /// Sets a workspace's limit.
    void set_limit(core::workspace_id workspace, const fleet_limit& limit, core::time_point now);

    /// Names all others that split the limits; one that is no longer named gives up its part.
    ///
    /// `regions` are other regions, each of which tells the sums over its instances.
    void set_peers(const std::vector<core::instance_id>& peers,
                   const std::vector<core::instance_id>& regions, core::time_point now);

    /// A peer has started anew: it holds nothing of what it held before.
    void on_peer_restarted(core::instance_id peer, core::time_point now);

    /// A peer told its demands.
    void on_peer_demands(core::instance_id peer, const std::vector<workspace_demand>& demands,
                         core::time_point now);

    /// Takes units for a request; returns how long to wait when there are none.
    std::optional<core::duration> try_consume(core::workspace_id workspace, double units,
                                              core::time_point now);

    /// Gives back units of a request that did not run.
    void refund(core::workspace_id workspace, double units);

    /// Demands to tell the others.
    std::vector<workspace_demand> demands(core::time_point now);

    /// So much was taken here since the last word that the others must hear of it at once.
    bool is_demand_report_due() const;

    /// The same for what the instances of this region took since mark_region_demands_reported.
    bool is_region_demand_report_due() const;

    /// Other regions are being told.
    void mark_region_demands_reported();

    /// Part of the fleet's limit that this instance uses, from 0 to 1.
    double share_of(core::workspace_id workspace, core::time_point now);

private:
    /// What a peer told of one workspace.
    struct peer_report
    {
        double m_demand = 0;   ///< Units a second.
        double m_taken = 0;    ///< Units taken since its start.
        double m_share = 0;    ///< Part that it uses.
        double m_reserved = 0; ///< Part that it keeps for others.
    };

    /// One other instance.
    struct peer
    {
        core::time_point m_last_received{};                            ///< When it told last.
        bool m_has_reported = false;                                   ///< It has told anything.
        bool m_is_region = false;                                      ///< It stands for a region.
        std::unordered_map<core::workspace_id, peer_report> m_reports; ///< By workspace.
    };

    /// One workspace here.
    struct account
    {
        fleet_limit m_limit;                ///< Limit over the fleet.
        double m_pool = 0;                  ///< Units in the fleet's bucket, as known here.
        double m_balance = 0;               ///< Units of this instance's part; may be below zero.
        double m_taken = 0;                 ///< Units taken since the start.
        double m_taken_reported = 0;        ///< Of these, units that the others were told of.
        double m_region_taken_reported = 0; ///< Units that other regions were told of.
        double m_demand = 0;                ///< Units asked for a second, as of m_refilled_at.
        core::time_point m_refilled_at{};   ///< Last refill.
        bool m_is_initialized = false;      ///< The first fill was given.
    };

    /// Parts of the fleet's limit.
    struct limit_fractions
    {
        double m_reachable = 1; ///< Of this instance and those that are heard.
        double m_own = 1;       ///< Of this instance.
        double m_reserved = 0;  ///< Of this region's instances that are not heard.
    };

    limit_fractions compute_fractions(core::workspace_id workspace, const account& state,
                                      core::time_point now) const;
    void refill(core::workspace_id workspace, account& state, core::time_point now);

    double taken_in_region(core::workspace_id workspace, const account& state) const;

    core::instance_id m_self;                  ///< This instance.
    demand_share_settings m_settings;          ///< Settings.
    core::seeded_random m_random;              ///< Rounds what is left of a balance.
    std::map<core::instance_id, peer> m_peers; ///< Other instances.
    std::unordered_map<core::workspace_id, account> m_accounts; ///< By workspace.
};

} // namespace tarragontrail::limits
