#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

#include <algorithm>

namespace tarragontrail::routing {

/// Chooses the engine of the region with the shortest queue time. Baseline for comparisons.
class least_loaded_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::least_loaded; ///< Reported in logs.
    static constexpr bool m_uses_cached_depths = false;              ///< Ignores cached prefixes.

    void select(const selection_input& input, candidate_list& candidates,
                core::seeded_random& random) const
    {
        const auto engines = input.preferred();
        if (engines.empty())
        {
            return;
        }
        // Starts at a random position, so that equal queue times do not favour one engine.
        const std::size_t start = random.below(engines.size());
        const eligible_engine* best = &engines[start];
        for (std::size_t step = 1; step < engines.size(); ++step)
        {
            const eligible_engine& eligible = engines[(start + step) % engines.size()];
            best = eligible.m_queue_time < best->m_queue_time ? &eligible : best;
        }
        candidates.add(best->m_engine, input.preferred_origin(candidate_origin::overflow));
    }

    std::size_t choose(std::span<const candidate> /*candidates*/,
                       core::seeded_random& /*random*/) const
    {
        return 0;
    }
};

static_assert(routing_policy<least_loaded_policy>);

} // namespace tarragontrail::routing
