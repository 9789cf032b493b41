#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

namespace tarragontrail::routing {

/// The cheapest of a few rendezvous candidates by waiting and recomputation.
///
/// When all of them are overloaded, two more engines of the region are weighed, and engines of
/// other regions as far as the router allows them. Few candidates keep prefixes from being copied
/// everywhere, and the random pair keeps instances from sending all work to one idle engine.
class least_cost_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::least_cost; ///< Name in log lines.
    static constexpr bool m_uses_cached_depths = true; ///< Depths decide the recomputation.

    explicit least_cost_policy(const routing_settings& settings)
        : m_overload_wait(settings.m_overload_wait), m_tie_margin(settings.m_tie_margin)
    {}

    void select(const selection_input& input, candidate_list& candidates,
                core::seeded_random& random) const;

    /// Cheapest candidate; among equal ones the less loaded of the first and a random one.
    std::size_t choose(std::span<const candidate> candidates, core::seeded_random& random) const;

private:
    bool all_overloaded(std::span<const eligible_engine> engines,
                        const candidate_list& candidates) const noexcept;

    core::duration m_overload_wait; ///< Wait of an overloaded engine.
    core::duration m_tie_margin;    ///< Costs this close count as equal.
};

static_assert(routing_policy<least_cost_policy>);

} // namespace tarragontrail::routing
