#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

namespace tarragontrail::routing {

/// Chooses the first engine in rendezvous order whose queue time is within a factor of the mean
/// queue time (consistent hashing with bounded loads).
///
/// If none of the first max_candidates engines is, the less loaded of two random engines is chosen.
class bounded_rendezvous_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::bounded_rendezvous; ///< Reported in logs.
    static constexpr bool m_uses_cached_depths = false; ///< Ignores cached prefixes.

    explicit bounded_rendezvous_policy(const routing_settings& settings)
        : m_max_load_factor(settings.m_max_load_factor), m_margin(settings.m_tie_margin)
    {}

    void select(const selection_input& input, candidate_list& candidates,
                core::seeded_random& random) const;

    std::size_t choose(std::span<const candidate> /*candidates*/,
                       core::seeded_random& /*random*/) const
    {
        return 0;
    }

private:
    double m_max_load_factor; ///< Bound on the queue time, as a factor of the mean.
    core::duration m_margin;  ///< Added to the bound, so that short queues do not count as load.
};

static_assert(routing_policy<bounded_rendezvous_policy>);

} // namespace tarragontrail::routing
