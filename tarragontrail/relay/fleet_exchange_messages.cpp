// Heartbeats and region digests that an instance sends.
#include "tarragontrail/core/saturating_sum.hpp"
#include "tarragontrail/relay/fleet_exchange.hpp"

#include <utility>

namespace tarragontrail::relay {
namespace {

/// Adds the loads of one instance to the sums of its cell.
void add_loads(std::map<core::upstream_id, wire::upstream_pulse>& sums,
               const std::vector<wire::upstream_pulse>& loads)
{
    for (const wire::upstream_pulse& report : loads)
    {
        wire::upstream_pulse& sum = sums[report.m_upstream];
        sum.m_upstream = report.m_upstream;
        sum.m_in_flight += report.m_in_flight;
        sum.m_tokens = core::saturating_sum(sum.m_tokens, report.m_tokens);
        sum.m_backlog += report.m_backlog;
    }
}

/// Adds the demands of one instance to the sums of its cell.
void add_demands(std::map<core::workspace_id, wire::workspace_demand>& sums,
                 const std::vector<wire::workspace_demand>& demands)
{
    for (const wire::workspace_demand& report : demands)
    {
        wire::workspace_demand& sum = sums[report.m_workspace];
        sum.m_workspace = report.m_workspace;
        sum.m_demand += report.m_demand;
        sum.m_taken += report.m_taken;
        sum.m_share += report.m_share;
    }
}

template <class Key, class Value>
std::vector<Value> values_of(const std::map<Key, Value>& entries)
{
    std::vector<Value> values;
    values.reserve(entries.size());
    for (const auto& [key, value] : entries)
    {
        values.push_back(value);
    }
    return values;
}

} // namespace

/// Heartbeat with state and demands of this instance, without loads.
/// A heartbeat without loads and demands; it marks nothing as reported.
wire::instance_pulse fleet_exchange::make_status(core::time_point now)
{
    wire::instance_pulse heartbeat;
    heartbeat.m_state.m_instance = m_self.m_instance;
    heartbeat.m_state.m_started = m_self.m_started;
    m_listener.fill_heartbeat(heartbeat, now);
    return heartbeat;
}

wire::instance_pulse fleet_exchange::make_base_heartbeat(core::time_point now)
{
    wire::instance_pulse heartbeat = make_status(now);
    heartbeat.m_demands = m_state.m_limits.demands(now);
    for (const auto& [id, known] : m_state.m_upstreams.all())
    {
        if (const auto& limit = known->m_terms.limit())
        {
            heartbeat.m_limits.push_back(
                {id, known->m_record.m_started, limit->m_per_second, limit->m_said_at});
        }
    }
    return heartbeat;
}

wire::instance_pulse fleet_exchange::make_heartbeat(core::time_point now)
{
    wire::instance_pulse heartbeat = make_base_heartbeat(now);
    for (const auto& [id, known] : m_state.m_upstreams.all())
    {
        const load_totals& own = known->m_load.own();
        if (own.m_in_flight == 0 && known->m_unreported_successes == 0 &&
            known->m_unreported_failures == 0)
        {
            continue;
        }
        heartbeat.m_loads.push_back(
            {id, own.m_in_flight, own.m_tokens,
             std::chrono::duration_cast<std::chrono::milliseconds>(own.m_backlog),
             known->m_unreported_successes, known->m_unreported_failures});
        known->m_unreported_successes = 0;
        known->m_unreported_failures = 0;
    }
    count_outcomes(heartbeat.m_loads);
    return heartbeat;
}

/// Digests of the speaker tell other cells of a region what requests of this cell met.
void fleet_exchange::count_outcomes(const std::vector<wire::upstream_pulse>& loads)
{
    if (m_cells.others().empty())
    {
        return;
    }
    for (const wire::upstream_pulse& report : loads)
    {
        outcome_counts& counts = m_cell_outcomes[report.m_upstream];
        counts.m_served += report.m_served;
        counts.m_failed += report.m_failed;
    }
}

/// Sums over this cell for some workspaces.
wire::cell_demands
fleet_exchange::make_cell_demands(const std::vector<core::workspace_id>& workspaces,
                                  core::time_point now)
{
    std::map<core::workspace_id, wire::workspace_demand> sums;
    const std::vector<wire::workspace_demand> own = m_state.m_limits.demands(now);
    add_demands(sums, own);
    for (const wire::workspace_demand& demand : own)
    {
        sums[demand.m_workspace].m_reserved = demand.m_reserved;
    }
    for (const auto& [instance, heartbeat] : m_last_heartbeats)
    {
        if (m_registry.is_present(instance, now))
        {
            add_demands(sums, heartbeat.m_demands);
        }
    }
    wire::cell_demands changes{m_cells.own().m_name, {}};
    for (const core::workspace_id workspace : workspaces)
    {
        if (const auto sum = sums.find(workspace); sum != sums.end())
        {
            changes.m_demands.push_back(sum->second);
        }
    }
    return changes;
}

/// Sums over the instances of this cell that send heartbeats; those that leave are named so that
/// other cells pass over them at once.
wire::cell_digest fleet_exchange::make_digest(core::time_point now)
{
    const wire::instance_pulse own = make_base_heartbeat(now);
    wire::cell_digest digest;
    digest.m_cell = m_cells.own().m_name;
    digest.m_versions = own.m_versions;
    digest.m_since_order = own.m_since_order;
    digest.m_limits = own.m_limits;
    digest.m_members.push_back(own.m_state);
    std::map<core::upstream_id, wire::upstream_pulse> loads;
    std::map<core::workspace_id, wire::workspace_demand> demands;
    add_demands(demands, own.m_demands);
    for (const wire::workspace_demand& demand : own.m_demands)
    {
        demands[demand.m_workspace].m_reserved = demand.m_reserved;
    }
    for (const auto& [instance, heartbeat] : m_last_heartbeats)
    {
        if (!m_registry.is_present(instance, now))
        {
            continue;
        }
        digest.m_members.push_back(heartbeat.m_state);
        digest.m_members.back().m_instance = instance;
        digest.m_since_order = std::min(digest.m_since_order, heartbeat.m_since_order);
        add_loads(loads, heartbeat.m_loads);
        add_demands(demands, heartbeat.m_demands);
    }
    for (const auto& [id, known] : m_state.m_upstreams.all())
    {
        const load_totals& load = known->m_load.own();
        if (load.m_in_flight > 0)
        {
            add_loads(
                loads,
                {{id, load.m_in_flight, load.m_tokens,
                  std::chrono::duration_cast<std::chrono::milliseconds>(load.m_backlog), 0, 0}});
        }
    }
    for (const auto& [id, counts] : std::exchange(m_cell_outcomes, {}))
    {
        wire::upstream_pulse& sum = loads[id];
        sum.m_upstream = id;
        sum.m_served = counts.m_served;
        sum.m_failed = counts.m_failed;
    }
    digest.m_loads = values_of(loads);
    digest.m_demands = values_of(demands);
    return digest;
}

} // namespace tarragontrail::relay
