#include "tarragontrail/membership/locator.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tarragontrail::membership {

namespace {

constexpr double own_domain_weight =
    2.0; ///< Weight of a member in the caller's failure domain; 1 elsewhere.
constexpr std::size_t min_homes = 2; ///< Minimum number of homes of a workspace.
constexpr double homes_per_share =
    2.0; ///< Homes per instance that the workspace's load would fill.

/// Sort key of a candidate; the smallest is best.
struct candidate_rank
{
    bool m_suspected; ///< Suspected members sort last.
    bool m_elsewhere; ///< Members of other regions sort after those of the caller's.
    bool m_not_home;  ///< Members that are not a home sort after homes.
    double m_score;   ///< Weighted rendezvous score for the caller; lower is better.

    bool operator<(const candidate_rank& other) const
    {
        return std::tie(m_suspected, m_elsewhere, m_not_home, m_score) <
               std::tie(other.m_suspected, other.m_elsewhere, other.m_not_home, other.m_score);
    }
};

/// Weighted rendezvous hashing: a member of twice the weight comes first twice as often.
double weighted_score(const member& each, const caller_locality& locality, std::uint64_t workspace)
{
    const std::uint64_t caller = core::hash_pair(workspace, locality.m_caller);
    const std::uint64_t score = core::rendezvous_score(caller, core::value_of(each.m_id));
    const double uniform =
        (static_cast<double>(score >> 11) + 1.0) / 9007199254740993.0; // 2^53 + 1
    const bool own_domain = locality.m_domain && *locality.m_domain == each.m_domain_id;
    return -std::log(uniform) / (own_domain ? own_domain_weight : 1.0);
}

} // namespace

locate_answer locator::locate(const view& current, const failure_detector& detector,
                              core::workspace_id workspace, std::size_t homes,
                              const caller_locality& locality) const
{
    const std::uint64_t key = core::value_of(workspace);
    const std::vector<const member*> home_members = current.homes_of(key, homes);
    locate_answer answer;
    answer.m_ttl = m_settings.m_ttl;
    std::vector<std::pair<candidate_rank, const member*>> candidates;
    for (const member& each : current.members())
    {
        const bool is_home =
            std::find(home_members.begin(), home_members.end(), &each) != home_members.end();
        const liveness state = detector.state_of(each.m_id).value_or(liveness::alive);
        const bool is_stable = each.m_state == member_state::live && state == liveness::alive;
        answer.m_ttl = is_home && !is_stable ? m_settings.m_ttl_unsettled : answer.m_ttl;
        if (each.m_state != member_state::live || state >= liveness::left)
        {
            continue;
        }
        const bool elsewhere = locality.m_region && *locality.m_region != each.m_region_id;
        candidates.emplace_back(candidate_rank{state == liveness::suspected, elsewhere, !is_home,
                                               weighted_score(each, locality, key)},
                                &each);
    }
    const std::size_t count = std::min(m_settings.m_addresses, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(),
                      [](const auto& a, const auto& b) { return a.first < b.first; });
    candidates.resize(count);
    for (const auto& [order, each] : candidates)
    {
        answer.m_locations.push_back({each->m_id, each->m_address, each->m_ports.m_caller});
    }
    return answer;
}

std::size_t home_count(double share, std::size_t live_members) noexcept
{
    const double wanted = std::ceil(homes_per_share * share * static_cast<double>(live_members));
    const auto homes = std::max(min_homes, static_cast<std::size_t>(std::max(wanted, 0.0)));
    return std::min(homes, live_members);
}

} // namespace tarragontrail::membership
