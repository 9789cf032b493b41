#include "tarragontrail/limits/demand_share.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::limits {
namespace {

/// Maximum wait that is reported, because limits and demands will have changed by then.
constexpr std::chrono::seconds max_wait{10};

} // namespace

demand_share::demand_share(core::instance_id self, demand_share_settings settings)
    : m_self(self), m_settings(settings), m_random(core::value_of(self))
{}

void demand_share::set_limit(core::workspace_id workspace, const fleet_limit& limit,
                             core::time_point now)
{
    account& state = m_accounts[workspace];
    if (state.m_is_initialized)
    {
        refill(workspace, state, now);
        state.m_limit = limit;
        return;
    }
    state.m_limit = limit;
    state.m_refilled_at = now;
    state.m_is_initialized = true;
    const limit_fractions fractions = compute_fractions(workspace, state, now);
    state.m_pool = limit.m_burst * m_settings.m_initial_fill * fractions.m_reachable;
    state.m_balance = limit.m_burst * m_settings.m_initial_fill * fractions.m_own;
}

void demand_share::set_peers(const std::vector<core::instance_id>& peers,
                             const std::vector<core::instance_id>& groups, std::size_t fleet_size,
                             core::time_point now)
{
    m_fleet_size = fleet_size;
    m_group_count = groups.size() + 1;
    std::map<core::instance_id, peer> named;
    const auto keep = [&](core::instance_id id, bool is_group) {
        if (id == m_self)
        {
            return;
        }
        const auto known = m_peers.find(id);
        named[id] =
            known != m_peers.end() ? std::move(known->second) : peer{now, false, is_group, {}};
    };
    for (const core::instance_id id : peers)
    {
        keep(id, false);
    }
    for (const core::instance_id id : groups)
    {
        keep(id, true);
    }
    m_peers = std::move(named);
}

void demand_share::on_peer_restarted(core::instance_id id, core::time_point now)
{
    const auto known = m_peers.find(id);
    if (known != m_peers.end())
    {
        known->second = peer{now, false, false, {}};
    }
}

void demand_share::on_peer_demands(core::instance_id id,
                                   const std::vector<workspace_demand>& demands,
                                   core::time_point now)
{
    const auto known = m_peers.find(id);
    if (known == m_peers.end())
    {
        return;
    }
    const bool is_first_report = !known->second.m_has_reported;
    known->second.m_last_received = now;
    known->second.m_has_reported = true;
    apply_reports(known->second, demands, is_first_report);
}

void demand_share::on_peer_demand_changes(core::instance_id id,
                                          const std::vector<workspace_demand>& demands,
                                          core::time_point now)
{
    const auto known = m_peers.find(id);
    if (known == m_peers.end() || !known->second.m_has_reported)
    {
        return;
    }
    known->second.m_last_received = now;
    apply_reports(known->second, demands, false);
}

/// What a peer had taken before its first report is not taken from the pool again.
void demand_share::apply_reports(peer& from, const std::vector<workspace_demand>& demands,
                                 bool is_first)
{
    for (const workspace_demand& reported : demands)
    {
        peer_report& report = from.m_reports[reported.m_workspace];
        const auto state = m_accounts.find(reported.m_workspace);
        if (state != m_accounts.end() && !is_first && reported.m_taken > report.m_taken)
        {
            state->second.m_pool -= reported.m_taken - report.m_taken;
        }
        report =
            peer_report{reported.m_demand, reported.m_taken, reported.m_share, reported.m_reserved};
    }
}

std::optional<core::duration> demand_share::try_consume(core::workspace_id workspace, double units,
                                                        core::time_point now)
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end() || found->second.m_limit.m_rate <= 0)
    {
        return std::nullopt;
    }
    account& state = found->second;
    refill(workspace, state, now);
    const std::chrono::duration<double> time_constant = m_settings.m_demand_time_constant;
    state.m_demand += units / time_constant.count();
    const limit_fractions fractions = compute_fractions(workspace, state, now);
    const double threshold =
        state.m_limit.m_burst * m_settings.m_scarcity_threshold * fractions.m_reachable;
    if (state.m_pool >= std::max(threshold, units) || state.m_balance >= units)
    {
        state.m_pool -= units;
        state.m_taken += units;
        // Units taken from a well-filled pool are debited from the balance only down to a floor, so
        // that they do not block this instance for long.
        state.m_balance =
            std::max(state.m_balance - units, -state.m_limit.m_burst * fractions.m_own - units);
        return std::nullopt;
    }
    // A request may be larger than an instance's balance can ever be. It is admitted with a
    // probability of balance / units, so that many instances do not overdraw their balances at the
    // same time.
    const double paid = std::max(0.0, state.m_balance);
    state.m_balance = std::min(state.m_balance, 0.0);
    if (m_random.unit() * units < paid)
    {
        state.m_pool -= units;
        state.m_taken += units;
        return std::nullopt;
    }
    const double rate = state.m_limit.m_rate * fractions.m_own;
    const double wanted = std::min(units, state.m_limit.m_burst * fractions.m_own);
    const double seconds = rate > 0 ? (wanted - state.m_balance) / rate : HUGE_VAL;

    const std::chrono::duration<double> max_duration = max_wait;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::min(seconds, max_duration.count())));
}

void demand_share::refund(core::workspace_id workspace, double units)
{
    const auto found = m_accounts.find(workspace);
    if (found != m_accounts.end())
    {
        found->second.m_balance += units;
        found->second.m_pool += units;
        found->second.m_taken -= units;
    }
}

std::vector<workspace_demand> demand_share::demands(core::time_point now)
{
    std::vector<workspace_demand> reported;
    for (auto& [workspace, state] : m_accounts)
    {
        if (state.m_limit.m_rate <= 0)
        {
            continue;
        }
        refill(workspace, state, now);
        state.m_taken_reported = state.m_taken;
        const limit_fractions fractions = compute_fractions(workspace, state, now);
        reported.push_back(
            {workspace, state.m_demand, state.m_taken, fractions.m_own, fractions.m_reserved});
    }
    return reported;
}

std::vector<workspace_demand> demand_share::due_demands(core::time_point now)
{
    std::vector<workspace_demand> due;
    for (auto& [workspace, state] : m_accounts)
    {
        const double threshold = state.m_limit.m_burst * m_settings.m_report_threshold /
                                 static_cast<double>(m_fleet_size);
        if (state.m_limit.m_rate <= 0 || state.m_taken - state.m_taken_reported <= threshold)
        {
            continue;
        }
        refill(workspace, state, now);
        state.m_taken_reported = state.m_taken;
        const limit_fractions fractions = compute_fractions(workspace, state, now);
        due.push_back(
            {workspace, state.m_demand, state.m_taken, fractions.m_own, fractions.m_reserved});
    }
    return due;
}

std::vector<core::workspace_id> demand_share::due_in_group() const
{
    std::vector<core::workspace_id> due;
    for (const auto& [workspace, state] : m_accounts)
    {
        const double threshold = state.m_limit.m_burst * m_settings.m_group_report_threshold /
                                 static_cast<double>(m_group_count);
        if (state.m_limit.m_rate > 0 &&
            taken_in_group(workspace, state) - state.m_group_taken_reported > threshold)
        {
            due.push_back(workspace);
        }
    }
    return due;
}

void demand_share::mark_group_reported()
{
    for (auto& [workspace, state] : m_accounts)
    {
        state.m_group_taken_reported = taken_in_group(workspace, state);
    }
}

void demand_share::mark_group_reported(core::workspace_id workspace)
{
    const auto found = m_accounts.find(workspace);
    if (found != m_accounts.end())
    {
        found->second.m_group_taken_reported = taken_in_group(workspace, found->second);
    }
}

double demand_share::taken_in_group(core::workspace_id workspace, const account& state) const
{
    double taken = state.m_taken;
    for (const auto& [id, other] : m_peers)
    {
        const auto report = other.m_reports.find(workspace);
        taken += !other.m_is_group && report != other.m_reports.end() ? report->second.m_taken : 0;
    }
    return taken;
}

double demand_share::share_of(core::workspace_id workspace, core::time_point now)
{
    const auto found = m_accounts.find(workspace);
    return found == m_accounts.end() ? 1.0 : compute_fractions(workspace, found->second, now).m_own;
}

demand_share::limit_fractions demand_share::compute_fractions(core::workspace_id workspace,
                                                              const account& state,
                                                              core::time_point now) const
{
    // Silent peers keep their last reported fraction; the others split the rest by demand.
    const double even = 1.0 / static_cast<double>(m_peers.size() + 1);
    double reserved = 0;
    double reserved_in_group = 0;
    double active_demand = 0;
    double active_count = 1;
    for (const auto& [id, other] : m_peers)
    {
        const auto report = other.m_reports.find(workspace);
        const bool has_report = report != other.m_reports.end();
        if (other.m_has_reported && now - other.m_last_received <= m_settings.m_peer_timeout)
        {
            active_demand += has_report ? report->second.m_demand : 0;
            reserved += other.m_is_group && has_report ? report->second.m_reserved : 0;
            active_count += 1;
            continue;
        }
        if (now - other.m_last_received <= m_settings.m_reservation_time)
        {
            const double reserved_fraction = has_report ? report->second.m_share : even;
            reserved += reserved_fraction;
            reserved_in_group += other.m_is_group ? 0 : reserved_fraction;
        }
    }
    const double free = std::max(0.0, 1.0 - reserved);
    const double floor = state.m_limit.m_rate * m_settings.m_even_fraction / active_count;
    const double share = free * (state.m_demand + floor) /
                         (state.m_demand + active_demand + floor * active_count + 1e-9);
    TARRAGONTRAIL_INVARIANT(share >= 0 && share <= 1.0 + 1e-6, "share_is_part_of_whole");
    return {free, share, reserved_in_group};
}

void demand_share::refill(core::workspace_id workspace, account& state, core::time_point now)
{
    if (now <= state.m_refilled_at)
    {
        return;
    }
    const std::chrono::duration<double> passed = now - state.m_refilled_at;
    const std::chrono::duration<double> time_constant = m_settings.m_demand_time_constant;
    const limit_fractions fractions = compute_fractions(workspace, state, now);
    state.m_refilled_at = now;
    state.m_demand *= std::exp(-passed / time_constant);
    const double accrued = state.m_limit.m_rate * passed.count();
    state.m_pool = std::min(state.m_pool + accrued * fractions.m_reachable,
                            state.m_limit.m_burst * fractions.m_reachable);
    state.m_balance = std::min(state.m_balance + accrued * fractions.m_own,
                               state.m_limit.m_burst * fractions.m_own);
}

} // namespace tarragontrail::limits
