#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

namespace tarragontrail::routing {

/// Any engine of the region with equal chance; a baseline.
class random_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::random; ///< Name in log lines.
    static constexpr bool m_uses_depths = false;               ///< Depths do not matter.

    void select(const selection& input, candidate_list& candidates,
                core::seeded_random& random) const
    {
        const auto options = input.preferred();
        if (options.empty())
        {
            return;
        }
        candidates.add(options[random.below(options.size())].m_engine,
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
