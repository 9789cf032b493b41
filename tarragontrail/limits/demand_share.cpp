#include "tarragontrail/limits/demand_share.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::limits {
namespace {

/// Longest wait that is told; limits and demands have changed by then.
constexpr std::chrono::seconds longest_wait{10};

} // namespace

demand_share::demand_share(core::instance_id self, demand_share_settings settings)
    : m_self(self), m_settings(settings), m_random(core::value_of(self))
{}

void demand_share::set_limit(core::workspace_id workspace, const fleet_limit& limit,
                             core::time_point now)
{
    account& of = m_accounts[workspace];
    if (of.m_started)
    {
        refill(workspace, of, now);
        of.m_limit = limit;
        return;
    }
    of.m_limit = limit;
    of.m_filled = now;
    of.m_started = true;
    const parts now_parts = compute_parts(workspace, of, now);
    of.m_pool = limit.m_burst * m_settings.m_first_fill * now_parts.m_reachable;
    of.m_balance = limit.m_burst * m_settings.m_first_fill * now_parts.m_own;
}

void demand_share::set_peers(const std::vector<core::instance_id>& peers,
                             const std::vector<core::instance_id>& regions, core::time_point now)
{
    std::map<core::instance_id, peer> named;
    const auto keep = [&](core::instance_id id, bool is_region) {
        if (id == m_self)
        {
            return;
        }
        const auto known = m_peers.find(id);
        named[id] =
            known != m_peers.end() ? std::move(known->second) : peer{now, false, is_region, {}};
    };
    for (const core::instance_id id : peers)
    {
        keep(id, false);
    }
    for (const core::instance_id id : regions)
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
    const bool first_word = !known->second.m_told;
    known->second.m_heard = now;
    known->second.m_told = true;
    for (const workspace_demand& told : demands)
    {
        peer_part& part = known->second.m_parts[told.m_workspace];
        const auto of = m_accounts.find(told.m_workspace);
        if (of != m_accounts.end() && !first_word && told.m_taken > part.m_taken)
        {
            of->second.m_pool -= told.m_taken - part.m_taken;
        }
        part = peer_part{told.m_demand, told.m_taken, told.m_share, told.m_reserved};
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
    account& of = found->second;
    refill(workspace, of, now);
    const std::chrono::duration<double> memory = m_settings.m_demand_memory;
    of.m_demand += units / memory.count();
    const parts now_parts = compute_parts(workspace, of, now);
    const double scarce = of.m_limit.m_burst * m_settings.m_scarce * now_parts.m_reachable;
    if (of.m_pool >= std::max(scarce, units) || of.m_balance >= units)
    {
        of.m_pool -= units;
        of.m_taken += units;
        // What was taken from a full pool is not held against this instance for long.
        of.m_balance =
            std::max(of.m_balance - units, -of.m_limit.m_burst * now_parts.m_own - units);
        return std::nullopt;
    }
    // A request may be larger than an instance's part. It passes as often as the balance pays for,
    // so the parts of many instances are not all overdrawn at once.
    const double paid = std::max(0.0, of.m_balance);
    of.m_balance = std::min(of.m_balance, 0.0);
    if (m_random.unit() * units < paid)
    {
        of.m_pool -= units;
        of.m_taken += units;
        return std::nullopt;
    }
    const double rate = of.m_limit.m_rate * now_parts.m_own;
    const double wanted = std::min(units, of.m_limit.m_burst * now_parts.m_own);
    const double seconds = rate > 0 ? (wanted - of.m_balance) / rate : HUGE_VAL;

    const std::chrono::duration<double> longest = longest_wait;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::min(seconds, longest.count())));
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
    std::vector<workspace_demand> told;
    for (auto& [workspace, of] : m_accounts)
    {
        if (of.m_limit.m_rate <= 0)
        {
            continue;
        }
        refill(workspace, of, now);
        of.m_taken_told = of.m_taken;
        const parts now_parts = compute_parts(workspace, of, now);
        told.push_back({workspace, of.m_demand, of.m_taken, now_parts.m_own, now_parts.m_reserved});
    }
    return told;
}

bool demand_share::is_demand_report_due() const
{
    const auto instances = static_cast<double>(m_peers.size() + 1);
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto& entry) {
        const account& of = entry.second;
        return of.m_limit.m_rate > 0 && of.m_taken - of.m_taken_told > of.m_limit.m_burst *
                                                                           m_settings.m_word_share /
                                                                           instances;
    });
}

bool demand_share::is_region_demand_report_due() const
{
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto& entry) {
        const account& of = entry.second;
        return of.m_limit.m_rate > 0 && taken_in_region(entry.first, of) - of.m_region_told >
                                            of.m_limit.m_burst * m_settings.m_region_word_share;
    });
}

void demand_share::mark_region_demands_reported()
{
    for (auto& [workspace, of] : m_accounts)
    {
        of.m_region_told = taken_in_region(workspace, of);
    }
}

double demand_share::taken_in_region(core::workspace_id workspace, const account& of) const
{
    double taken = of.m_taken;
    for (const auto& [id, other] : m_peers)
    {
        const auto part = other.m_parts.find(workspace);
        taken += !other.m_is_region && part != other.m_parts.end() ? part->second.m_taken : 0;
    }
    return taken;
}

double demand_share::share_of(core::workspace_id workspace, core::time_point now)
{
    const auto found = m_accounts.find(workspace);
    return found == m_accounts.end() ? 1.0 : compute_parts(workspace, found->second, now).m_own;
}

demand_share::parts demand_share::compute_parts(core::workspace_id workspace, const account& of,
                                                core::time_point now) const
{
    // Silent peers keep what they used last; the others split the rest by demand.
    const double even = 1.0 / static_cast<double>(m_peers.size() + 1);
    double reserved = 0;
    double reserved_here = 0;
    double heard_demand = 0;
    double heard_count = 1;
    for (const auto& [id, other] : m_peers)
    {
        const auto part = other.m_parts.find(workspace);
        const bool has_part = part != other.m_parts.end();
        if (other.m_told && now - other.m_heard <= m_settings.m_silence)
        {
            heard_demand += has_part ? part->second.m_demand : 0;
            reserved += other.m_is_region && has_part ? part->second.m_reserved : 0;
            heard_count += 1;
            continue;
        }
        if (now - other.m_heard <= m_settings.m_reserve_for)
        {
            const double kept = has_part ? part->second.m_share : even;
            reserved += kept;
            reserved_here += other.m_is_region ? 0 : kept;
        }
    }
    const double free = std::max(0.0, 1.0 - reserved);
    const double floor = of.m_limit.m_rate * m_settings.m_floor / heard_count;
    const double share =
        free * (of.m_demand + floor) / (of.m_demand + heard_demand + floor * heard_count + 1e-9);
    TARRAGONTRAIL_INVARIANT(share >= 0 && share <= 1.0 + 1e-6, "share_is_part_of_whole");
    return {free, share, reserved_here};
}

void demand_share::refill(core::workspace_id workspace, account& of, core::time_point now)
{
    if (now <= of.m_filled)
    {
        return;
    }
    const std::chrono::duration<double> passed = now - of.m_filled;
    const std::chrono::duration<double> memory = m_settings.m_demand_memory;
    const parts now_parts = compute_parts(workspace, of, now);
    of.m_filled = now;
    of.m_demand *= std::exp(-passed / memory);
    const double accrued = of.m_limit.m_rate * passed.count();
    of.m_pool = std::min(of.m_pool + accrued * now_parts.m_reachable,
                         of.m_limit.m_burst * now_parts.m_reachable);
    of.m_balance =
        std::min(of.m_balance + accrued * now_parts.m_own, of.m_limit.m_burst * now_parts.m_own);
}

} // namespace tarragontrail::limits
