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
    /// Time constant of the exponentially decaying demand average.
    std::chrono::milliseconds m_demand_time_constant{1'500};
    /// A peer without a report for this long counts as silent.
    std::chrono::milliseconds m_peer_timeout{1'500};
    /// The share of a silent peer stays reserved for this long.
    std::chrono::milliseconds m_reservation_time{20'000};
    /// Fraction of the limit that is split evenly, regardless of demand.
    double m_even_fraction = 0.1;
    double m_initial_fill = 0.5;       ///< Fraction of its burst that a new bucket starts with.
    double m_scarcity_threshold = 0.3; ///< Pool level, as a fraction of the burst, below which
                                       ///< instances keep to their own fractions.
    double m_report_threshold = 0.5; ///< Units taken since the last report that make a report due,
                                     ///< as a fraction of an even split of the burst.
    /// Like m_report_threshold for a whole group, as a fraction of an even split of the burst over
    /// the groups.
    double m_group_report_threshold = 0.25;
};

/// Fleet-wide rate and burst of one workspace, in units.
struct fleet_limit
{
    double m_rate = 0;  ///< Units per second; zero means unlimited.
    double m_burst = 0; ///< Bucket capacity, in units.

    bool operator==(const fleet_limit&) const = default;
};

/// What one instance reports to its peers about a workspace.
struct workspace_demand
{
    core::workspace_id m_workspace{};
    double m_demand = 0; ///< Units requested per second, including refused ones.
    double m_taken = 0;  ///< Units taken since the instance started.
    double m_share = 0;  ///< Fraction of the fleet's limit that the instance uses, from 0 to 1.
    /// Fraction that stays reserved for silent instances of its group, from 0 to 1.
    double m_reserved = 0;
};

/// Enforces this instance's fraction of each workspace's fleet-wide rate and burst.
///
/// Each instance tracks a local estimate of the fleet's bucket (the pool). While the pool is well
/// filled, any instance may take from it, so a few large requests at one instance are not refused.
/// Below the scarcity threshold, each instance keeps to a fraction of the limit in proportion to
/// the demands that instances report to each other, because the pool estimate lags behind what
/// peers take. The fraction of a silent instance stays reserved, because it may be partitioned off
/// and still serve callers: the fractions on both sides of a partition sum to at most the whole
/// limit. This bounds a workspace that sends many times its limit through any set of instances.
class demand_share
{
public:
    explicit demand_share(core::instance_id self, demand_share_settings settings = {});

    void set_limit(core::workspace_id workspace, const fleet_limit& limit, core::time_point now);

    /// Sets the peers that the limits are split among; the fraction of a peer that is no longer
    /// listed is freed.
    ///
    /// `groups` identify other groups of instances; each reports the sums over its own.
    /// `fleet_size` is the number of all instances.
    void set_peers(const std::vector<core::instance_id>& peers,
                   const std::vector<core::instance_id>& groups, std::size_t fleet_size,
                   core::time_point now);

    /// Discards the state of a peer that has restarted.
    void on_peer_restarted(core::instance_id peer, core::time_point now);

    /// Applies a demand report of a peer.
    void on_peer_demands(core::instance_id peer, const std::vector<workspace_demand>& demands,
                         core::time_point now);

    /// Applies reports about some workspaces only, of a peer that has reported on all before.
    void on_peer_demand_changes(core::instance_id peer,
                                const std::vector<workspace_demand>& demands, core::time_point now);

    /// Takes units for a request. Returns nothing on success, else the time to wait before a retry.
    std::optional<core::duration> try_consume(core::workspace_id workspace, double units,
                                              core::time_point now);

    /// Returns the units of a request that did not run.
    void refund(core::workspace_id workspace, double units);

    /// Demand report for the peers; marks the taken units as reported.
    std::vector<workspace_demand> demands(core::time_point now);

    /// Reports about the workspaces whose units taken since the last report exceed the report
    /// threshold, so that peers need them at once; marks these units as reported.
    std::vector<workspace_demand> due_demands(core::time_point now);

    /// Workspaces of which this group's instances have taken so much since the last report to other
    /// groups that these need one at once.
    std::vector<core::workspace_id> due_in_group() const;

    /// Marks what this group's instances have taken as reported to other groups.
    void mark_group_reported();

    /// Same for one workspace.
    void mark_group_reported(core::workspace_id workspace);

    /// Fraction of the fleet's limit that this instance uses, from 0 to 1; 1 for an unknown
    /// workspace.
    double share_of(core::workspace_id workspace, core::time_point now);

private:
    /// Last report of a peer about one workspace; see workspace_demand.
    struct peer_report
    {
        double m_demand = 0;   ///< Units per second.
        double m_taken = 0;    ///< Units since the peer started.
        double m_share = 0;    ///< Fraction that the peer uses.
        double m_reserved = 0; ///< Fraction that the peer reserves for silent instances.
    };

    /// Another instance of the group, or another group.
    struct peer
    {
        /// Time of its last report, or of its listing before the first one.
        core::time_point m_last_received{};
        bool m_has_reported = false; ///< At least one report was received.
        bool m_is_group = false;     ///< Reports the sums over a group.
        std::unordered_map<core::workspace_id, peer_report> m_reports; ///< By workspace.
    };

    /// Local state of one workspace.
    struct account
    {
        fleet_limit m_limit;  ///< Fleet-wide limit.
        double m_pool = 0;    ///< Local estimate of the fleet's bucket, in units.
        double m_balance = 0; ///< Balance of this instance's fraction, in units; may be negative.
        double m_taken = 0;   ///< Units taken since process start.
        double m_taken_reported = 0; ///< Value of m_taken in the last report to peers.
        /// taken_in_group() at the last report to other groups.
        double m_group_taken_reported = 0;
        double m_demand = 0; ///< Units requested per second, decayed up to m_refilled_at.
        core::time_point m_refilled_at{};
        bool m_is_initialized = false; ///< The initial fill was added.
    };

    /// Fractions of the fleet's limit, from 0 to 1.
    struct limit_fractions
    {
        double m_reachable = 1; ///< Fraction of this instance and the peers that are not silent.
        double m_own = 1;       ///< Fraction of this instance.
        double m_reserved = 0;  ///< Fraction reserved for this group's silent instances.
    };

    limit_fractions compute_fractions(core::workspace_id workspace, const account& state,
                                      core::time_point now) const;
    void refill(core::workspace_id workspace, account& state, core::time_point now);

    double taken_in_group(core::workspace_id workspace, const account& state) const;
    void apply_reports(peer& from, const std::vector<workspace_demand>& demands, bool is_first);

    core::instance_id m_self;
    demand_share_settings m_settings;
    core::seeded_random m_random; ///< Decides whether a partial balance admits a larger request.
    std::map<core::instance_id, peer> m_peers;                  ///< Other instances and groups.
    std::unordered_map<core::workspace_id, account> m_accounts; ///< By workspace.
    std::size_t m_fleet_size = 1;                               ///< This instance included.
    std::size_t m_group_count = 1;                              ///< This group included.
};

} // namespace tarragontrail::limits
