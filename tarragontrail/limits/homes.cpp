#include "tarragontrail/limits/homes.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>

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

std::uint64_t split(std::uint64_t whole, std::size_t index, std::size_t count)
{
    return whole / count + (index < whole % count ? 1 : 0);
}

} // namespace

std::vector<core::instance_id> homes_of(core::workspace_id workspace,
                                        const std::vector<member>& members, std::size_t count)
{
    const std::vector<member> ranked = rank(workspace, members);
    std::vector<core::instance_id> homes;
    std::vector<core::region_id> regions;

    // The best member of each region comes first.
    for (const member& candidate : ranked)
    {
        if (homes.size() == count ||
            std::find(regions.begin(), regions.end(), candidate.m_region) != regions.end())
        {
            continue;
        }
        regions.push_back(candidate.m_region);
        homes.push_back(candidate.m_instance);
    }

    // The rest follow by score.
    for (const member& candidate : ranked)
    {
        if (homes.size() >= count)
        {
            break;
        }
        if (std::find(homes.begin(), homes.end(), candidate.m_instance) != homes.end())
        {
            continue;
        }
        homes.push_back(candidate.m_instance);
    }
    return homes;
}

core::instance_id successor_of(const share_row& row, std::size_t index,
                               const std::vector<member>& members)
{
    // Regions of the holders that stay.
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

    // The first free member of an uncovered region, else the first free one.
    core::instance_id first_free{};
    for (const member& candidate : rank(row.m_workspace, members))
    {
        if (holds_slot(row, candidate.m_instance))
        {
            continue;
        }
        if (std::find(covered.begin(), covered.end(), candidate.m_region) == covered.end())
        {
            return candidate.m_instance;
        }
        if (first_free == core::instance_id{})
        {
            first_free = candidate.m_instance;
        }
    }
    return first_free;
}

bucket_limit part_of(const bucket_limit& limit, std::size_t index, std::size_t count)
{
    return {split(limit.m_rate, index, count), split(limit.m_burst, index, count)};
}

} // namespace tarragontrail::limits
