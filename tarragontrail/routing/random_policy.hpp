#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

namespace tarragontrail::routing {

/// Chooses a random engine of the region. Baseline for comparisons.
class random_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::random; ///< Reported in logs.
    static constexpr bool m_uses_cached_depths = false;        ///< Ignores cached prefixes.

    void select(const selection_input& input, candidate_list& candidates,
                core::seeded_random& random) const
    {
        const auto engines = input.preferred();
        if (engines.empty())
        {
            return;
        }
        candidates.add(engines[random.below(engines.size())].m_engine,
                       input.preferred_origin(candidate_origin::hashed));
    }

    std::size_t choose(std::span<const candidate> /*candidates*/,
                       core::seeded_random& /*random*/) const
    {
        return 0;
    }
};

static_assert(routing_policy<random_policy>);

} // namespace tarragontrail::routing
