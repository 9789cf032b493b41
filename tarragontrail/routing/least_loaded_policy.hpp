#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

#include <algorithm>

namespace tarragontrail::routing {

/// The engine of the region with the shortest estimated wait; a baseline.
class least_loaded_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::least_loaded; ///< Name in log lines.
    static constexpr bool m_uses_depths = false;                     ///< Depths do not matter.

    void select(const selection& input, candidate_list& candidates,
                core::seeded_random& random) const
    {
        const auto options = input.preferred();
        if (options.empty())
        {
            return;
        }
        // Starts at a random place so that equal waits do not favour one engine.
        const std::size_t start = random.below(options.size());
        const engine_option* best = &options[start];
        for (std::size_t step = 1; step < options.size(); ++step)
        {
            const engine_option& option = options[(start + step) % options.size()];
            best = option.m_wait < best->m_wait ? &option : best;
        }
        candidates.add(best->m_engine, input.preferred_origin(candidate_origin::spilled));
    }

    std::size_t choose(std::span<const candidate> /*candidates*/,
                       core::seeded_random& /*random*/) const
    {
        return 0;
    }
};

static_assert(routing_policy<least_loaded_policy>);

} // namespace tarragontrail::routing
