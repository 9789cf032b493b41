#include "tarragontrail/limits/home_assignment.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace tarragontrail::limits {
namespace {

/// Member with its rendezvous score for one workspace.
struct scored_member
{
    std::uint64_t m_score = 0;
    member m_member;

    /// Orders by descending score; the higher instance id wins a tie.
    bool operator<(const scored_member& other) const
    {
        return m_score != other.m_score ? m_score > other.m_score
                                        : m_member.m_instance > other.m_member.m_instance;
    }
};

/// Members of one region with the highest scores, in descending order.
struct region_ranking
{
    core::region_id m_region{};
    std::vector<scored_member> m_best;
};

scored_member score(core::workspace_id workspace, const member& candidate)
{
    return {core::rendezvous_score(core::value_of(workspace), core::value_of(candidate.m_instance)),
            candidate};
}

/// Inserts a candidate in order and keeps at most `count` members.
void insert(region_ranking& ranking, const scored_member& candidate, std::size_t count)
{
    std::vector<scored_member>& best = ranking.m_best;
    if (best.size() == count && !(candidate < best.back()))
    {
        return;
    }
    if (best.size() == count)
    {
        best.pop_back();
    }
    best.insert(std::upper_bound(best.begin(), best.end(), candidate), candidate);
}

/// Up to `count` members of each region; regions are ordered by their best member.
std::vector<region_ranking> rank_regions(core::workspace_id workspace,
                                         const std::vector<member>& members, std::size_t count)
{
    std::vector<region_ranking> regions;
    for (const member& candidate : members)
    {
        auto region = std::find_if(regions.begin(), regions.end(), [&](const region_ranking& each) {
            return each.m_region == candidate.m_region;
        });
        if (region == regions.end())
        {
            region = regions.insert(region, {candidate.m_region, {}});
        }
        insert(*region, score(workspace, candidate), count);
    }
    std::sort(regions.begin(), regions.end(),
              [](const region_ranking& left, const region_ranking& right) {
                  return left.m_best.front() < right.m_best.front();
              });
    return regions;
}

bool holds_slot(const share_row& row, core::instance_id instance)
{
    return std::any_of(row.m_slots.begin(), row.m_slots.end(), [&](const share_slot& slot) {
        return slot.m_holder == instance || slot.m_claimant == instance;
    });
}

std::uint64_t split(std::uint64_t whole, std::size_t index, std::size_t count)
{
    return whole / count + (index < whole % count ? 1 : 0);
}

} // namespace

std::vector<core::instance_id> homes_of(core::workspace_id workspace,
                                        const std::vector<member>& members, std::size_t count)
{
    const std::vector<region_ranking> regions = rank_regions(workspace, members, count);
    std::vector<core::instance_id> homes;
    const std::size_t wanted = std::min(count, members.size());

    // Alternates among the regions, taking the best remaining member of each.
    for (std::size_t turn = 0; homes.size() < wanted; ++turn)
    {
        for (const region_ranking& region : regions)
        {
            if (homes.size() == wanted || turn >= region.m_best.size())
            {
                continue;
            }
            homes.push_back(region.m_best[turn].m_member.m_instance);
        }
    }
    return homes;
}

core::instance_id successor_of(const share_row& row, std::size_t index,
                               const std::vector<member>& members)
{
    // Region of each remaining holder.
    std::vector<core::region_id> covered;
    for (const member& candidate : members)
    {
        for (std::size_t slot = 0; slot < row.m_slots.size(); ++slot)
        {
            if (slot != index && row.m_slots[slot].m_holder == candidate.m_instance)
            {
                covered.push_back(candidate.m_region);
            }
        }
    }

    // Choose the best member without a slot in the region with the fewest holders.
    scored_member chosen;
    std::ptrdiff_t fewest = std::numeric_limits<std::ptrdiff_t>::max();
    for (const member& candidate : members)
    {
        const std::ptrdiff_t holders =
            std::count(covered.begin(), covered.end(), candidate.m_region);
        const scored_member next = score(row.m_workspace, candidate);
        if (holds_slot(row, candidate.m_instance) || holders > fewest ||
            (holders == fewest && !(next < chosen)))
        {
            continue;
        }
        fewest = holders;
        chosen = next;
    }
    return chosen.m_member.m_instance;
}

bucket_limit limit_of_share(const bucket_limit& limit, std::size_t index, std::size_t count)
{
    return {split(limit.m_rate, index, count), split(limit.m_burst, index, count)};
}

} // namespace tarragontrail::limits
