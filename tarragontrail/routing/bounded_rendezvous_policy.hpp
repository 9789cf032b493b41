#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

namespace tarragontrail::routing {

/// The first engine in rendezvous order whose wait is within a factor of the mean wait.
class bounded_rendezvous_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::bounded_rendezvous; ///< Name in log lines.
    static constexpr bool m_uses_cached_depths = false; ///< Depths do not matter.

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
    double m_max_load_factor; ///< Factor over the mean.
    core::duration m_margin;  ///< Wait that never counts as load.
};

static_assert(routing_policy<bounded_rendezvous_policy>);

} // namespace tarragontrail::routing
