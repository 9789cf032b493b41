#include "tarragontrail/limits/homes.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace tarragontrail::limits {
namespace {

std::uint64_t score_of(core::workspace_id workspace, core::instance_id instance)
{
    return core::rendezvous_score(core::value_of(workspace), core::value_of(instance));
}

/// Members from the best to the worst rendezvous score.
std::vector<member> rank(core::workspace_id workspace, const std::vector<member>& members)
{
    std::vector<member> ranked = members;
    std::sort(ranked.begin(), ranked.end(), [&](const member& left, const member& right) {
        const std::uint64_t left_score = score_of(workspace, left.m_instance);
        const std::uint64_t right_score = score_of(workspace, right.m_instance);
        return left_score != right_score ? left_score > right_score
                                         : left.m_instance > right.m_instance;
    });
    return ranked;
}

bool holds_slot(const share_row& row, core::instance_id instance)
{
    return std::any_of(row.m_slots.begin(), row.m_slots.end(), [&](const share_slot& slot) {
        return slot.m_holder == instance || slot.m_claimant == instance;
    });
}

bool contains(const std::vector<core::region_id>& regions, core::region_id region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::uint64_t split(std::uint64_t whole, std::size_t index, std::size_t count)
{
    return whole / count + (index < whole % count ? 1 : 0);
}

} // namespace

std::vector<core::instance_id> homes_of(core::workspace_id workspace,
                                        const std::vector<member>& members, std::size_t count)
{
    // The regions take turns, each with its best member that is left.
    std::vector<member> left = rank(workspace, members);
    std::vector<core::instance_id> homes;
    while (homes.size() < count && !left.empty())
    {
        std::vector<core::region_id> had_turn;
        std::vector<member> next;
        for (const member& candidate : left)
        {
            if (homes.size() == count || contains(had_turn, candidate.m_region))
            {
                next.push_back(candidate);
                continue;
            }
            had_turn.push_back(candidate.m_region);
            homes.push_back(candidate.m_instance);
        }
        left = std::move(next);
    }
    return homes;
}

core::instance_id successor_of(const share_row& row, std::size_t index,
                               const std::vector<member>& members)
{
    // Regions of the holders that stay, one entry for each.
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

    // The best free member of the region with the fewest holders.
    core::instance_id chosen{};
    std::ptrdiff_t fewest = std::numeric_limits<std::ptrdiff_t>::max();
    for (const member& candidate : rank(row.m_workspace, members))
    {
        const std::ptrdiff_t holders =
            std::count(covered.begin(), covered.end(), candidate.m_region);
        if (holders >= fewest || holds_slot(row, candidate.m_instance))
        {
            continue;
        }
        fewest = holders;
        chosen = candidate.m_instance;
    }
    return chosen;
}

bucket_limit part_of(const bucket_limit& limit, std::size_t index, std::size_t count)
{
    return {split(limit.m_rate, index, count), split(limit.m_burst, index, count)};
}

} // namespace tarragontrail::limits
