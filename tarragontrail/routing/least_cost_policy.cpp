#include "tarragontrail/routing/least_cost_policy.hpp"

#include <algorithm>

namespace tarragontrail::routing {

void least_cost_policy::select(const selection_input& input, candidate_list& candidates,
                               core::seeded_random& random) const
{
    // Engines of the current key, and of the key before a recent change of depth.
    const auto engines = input.preferred();
    const candidate_origin origin = input.preferred_origin(candidate_origin::hashed);
    add_by_rendezvous(engines, input.m_key, input.m_candidates_per_key, origin, candidates);
    if (input.m_previous_key.has_value())
    {
        add_by_rendezvous(engines, *input.m_previous_key, input.m_candidates_per_key, origin,
                          candidates);
    }

    // Adds engines of the region, and of other regions, only if all of these are overloaded.
    if (!all_overloaded(engines, candidates))
    {
        return;
    }
    const candidate_origin overflow = input.preferred_origin(candidate_origin::overflow);
    add_less_loaded_of_two(engines, overflow, candidates, random);
    add_less_loaded_of_two(input.m_remote, candidate_origin::other_region, candidates, random);
}

std::size_t least_cost_policy::choose(std::span<const candidate> candidates,
                                      core::seeded_random& random) const
{
    if (candidates.empty())
    {
        return 0;
    }
    core::duration lowest = core::duration::max();
    for (const candidate& item : candidates)
    {
        lowest = std::min(lowest, item.m_cost);
    }

    // Candidates are in rendezvous order, so preferring the first of the cheapest keeps a prefix on
    // its engine.
    std::array<std::size_t, max_candidates> equal{};
    std::size_t count = 0;
    for (std::size_t position = 0; position < candidates.size(); ++position)
    {
        if (candidates[position].m_cost > lowest + m_tie_margin)
        {
            continue;
        }
        equal[count] = position;
        ++count;
    }
    const std::size_t first = equal[0];
    const std::size_t other = equal[random.below(std::max<std::size_t>(count, 1))];
    return candidates[other].m_queue_time < candidates[first].m_queue_time ? other : first;
}

bool least_cost_policy::all_overloaded(std::span<const eligible_engine> engines,
                                       const candidate_list& candidates) const noexcept
{
    for (const eligible_engine& eligible : engines)
    {
        const auto items = candidates.items();
        const bool listed = std::any_of(items.begin(), items.end(), [&](const candidate& item) {
            return item.m_engine == eligible.m_engine;
        });
        if (listed && eligible.m_queue_time <= m_overload_wait)
        {
            return false;
        }
    }
    return true;
}

} // namespace tarragontrail::routing
