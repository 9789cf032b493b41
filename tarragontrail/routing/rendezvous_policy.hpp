#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

namespace tarragontrail::routing {

/// Chooses the engine with the highest rendezvous score for the prefix, whatever its load.
class rendezvous_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::rendezvous; ///< Reported in logs.
    static constexpr bool m_uses_cached_depths = false;            ///< Ignores cached prefixes.

    void select(const selection_input& input, candidate_list& candidates,
                core::seeded_random& /*random*/) const
    {
        // After a change of depth, a prefix stays on its old engine until it migrates.
        const std::uint64_t key = input.m_previous_key.value_or(input.m_key);
        add_by_rendezvous(input.preferred(), key, 1,
                          input.preferred_origin(candidate_origin::hashed), candidates);
    }

    std::size_t choose(std::span<const candidate> /*candidates*/,
                       core::seeded_random& /*random*/) const
    {
        return 0;
    }
};

static_assert(routing_policy<rendezvous_policy>);

} // namespace tarragontrail::routing
