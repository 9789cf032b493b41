// What an instance tells the others of itself, and of its region.
#include "tarragontrail/relay/fleet_exchange.hpp"

namespace tarragontrail::relay {
namespace {

/// Adds the loads of one instance to the sums of its region.
void add_loads(std::map<core::upstream_id, wire::upstream_pulse>& sums,
               const std::vector<wire::upstream_pulse>& loads)
{
    for (const wire::upstream_pulse& told : loads)
    {
        wire::upstream_pulse& sum = sums[told.m_upstream];
        sum.m_upstream = told.m_upstream;
        sum.m_in_flight += told.m_in_flight;
        sum.m_tokens += told.m_tokens;
        sum.m_backlog += told.m_backlog;
    }
}

/// Adds the demands of one instance to the sums of its region.
void add_demands(std::map<core::workspace_id, wire::workspace_demand>& sums,
                 const std::vector<wire::workspace_demand>& demands)
{
    for (const wire::workspace_demand& told : demands)
    {
        wire::workspace_demand& sum = sums[told.m_workspace];
        sum.m_workspace = told.m_workspace;
        sum.m_demand += told.m_demand;
        sum.m_taken += told.m_taken;
        sum.m_share += told.m_share;
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

/// State and demands of this instance, without its loads.
wire::instance_pulse fleet_exchange::own_word(core::time_point now)
{
    wire::instance_pulse word;
    word.m_state.m_instance = m_self.m_instance;
    word.m_state.m_started = m_self.m_started;
    m_listener.describe(word, now);
    word.m_demands = m_state.m_limits.demands(now);
    return word;
}

wire::instance_pulse fleet_exchange::describe(core::time_point now)
{
    wire::instance_pulse word = own_word(now);
    for (const auto& [id, known] : m_state.m_upstreams.all())
    {
        const load_sum& own = known->m_load.own();
        if (own.m_in_flight == 0 && known->m_served_untold == 0 && known->m_failed_untold == 0)
        {
            continue;
        }
        word.m_loads.push_back(
            {id, own.m_in_flight, own.m_tokens,
             std::chrono::duration_cast<std::chrono::milliseconds>(own.m_backlog),
             known->m_served_untold, known->m_failed_untold});
        known->m_served_untold = 0;
        known->m_failed_untold = 0;
    }
    return word;
}

/// Sums over the instances of this region that are heard.
wire::region_digest fleet_exchange::digest(core::time_point now)
{
    const wire::instance_pulse own = own_word(now);
    wire::region_digest told;
    told.m_region = m_self.m_region;
    told.m_versions = own.m_versions;
    told.m_since_order = own.m_since_order;
    told.m_members.push_back(own.m_state);
    std::map<core::upstream_id, wire::upstream_pulse> loads;
    std::map<core::workspace_id, wire::workspace_demand> demands;
    add_demands(demands, own.m_demands);
    for (const wire::workspace_demand& kept : own.m_demands)
    {
        demands[kept.m_workspace].m_reserved = kept.m_reserved;
    }
    for (const auto& [instance, word] : m_words)
    {
        if (!m_roster.is_alive(instance, now))
        {
            continue;
        }
        told.m_members.push_back(word.m_state);
        told.m_members.back().m_instance = instance;
        told.m_since_order = std::min(told.m_since_order, word.m_since_order);
        add_loads(loads, word.m_loads);
        add_demands(demands, word.m_demands);
    }
    for (const auto& [id, known] : m_state.m_upstreams.all())
    {
        const load_sum& load = known->m_load.own();
        if (load.m_in_flight > 0)
        {
            add_loads(
                loads,
                {{id, load.m_in_flight, load.m_tokens,
                  std::chrono::duration_cast<std::chrono::milliseconds>(load.m_backlog), 0, 0}});
        }
    }
    told.m_loads = values_of(loads);
    told.m_demands = values_of(demands);
    return told;
}

} // namespace tarragontrail::relay
