#include "tarragontrail/membership/locator.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tarragontrail::membership {

namespace {

constexpr double own_domain_weight = 2.0; ///< Share of a home in the caller's failure domain.
constexpr std::size_t min_homes = 2;      ///< Least homes of a workspace.
constexpr double homes_per_share = 2.0;   ///< Homes per instance's worth of load.

/// Order of a candidate; the smallest is best.
struct rank
{
    bool m_suspected;    ///< Suspected members come last.
    bool m_elsewhere;    ///< Members outside the caller's region come after those in it.
    bool m_no_home;      ///< Members that are no home come after homes.
    double m_preference; ///< Weighted rendezvous of the caller.

    bool operator<(const rank& other) const
    {
        return std::tie(m_suspected, m_elsewhere, m_no_home, m_preference) <
               std::tie(other.m_suspected, other.m_elsewhere, other.m_no_home, other.m_preference);
    }
};

/// Weighted rendezvous: a member of twice the weight comes first twice as often.
double preference(const member& each, const caller_locality& place, std::uint64_t workspace)
{
    const std::uint64_t caller = core::hash_pair(workspace, place.m_caller);
    const std::uint64_t score = core::rendezvous_score(caller, core::value_of(each.m_id));
    const double unit = (static_cast<double>(score >> 11) + 1.0) / 9007199254740993.0; // 2^53 + 1
    const bool own_domain = place.m_domain && *place.m_domain == each.m_domain_id;
    return -std::log(unit) / (own_domain ? own_domain_weight : 1.0);
}

} // namespace

locate_answer locator::locate(const view& current, const failure_detector& detector,
                              core::workspace_id workspace, std::size_t homes,
                              const caller_locality& place) const
{
    const std::uint64_t key = core::value_of(workspace);
    const std::vector<const member*> chosen = current.homes_of(key, homes);
    locate_answer answer;
    answer.m_ttl = m_settings.m_ttl;
    std::vector<std::pair<rank, const member*>> candidates;
    for (const member& each : current.members())
    {
        const bool is_home = std::find(chosen.begin(), chosen.end(), &each) != chosen.end();
        const liveness state = detector.state_of(each.m_id).value_or(liveness::alive);
        const bool is_calm = each.m_state == member_state::live && state == liveness::alive;
        answer.m_ttl = is_home && !is_calm ? m_settings.m_ttl_unsettled : answer.m_ttl;
        if (each.m_state != member_state::live || state >= liveness::left)
        {
            continue;
        }
        const bool elsewhere = place.m_region && *place.m_region != each.m_region_id;
        candidates.emplace_back(
            rank{state == liveness::suspected, elsewhere, !is_home, preference(each, place, key)},
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
