#pragma once

#include "tarragontrail/routing/routing_policy.hpp"

namespace tarragontrail::routing {

/// Chooses the candidate with the lowest cost, the sum of queue time and weighted prefill time.
///
/// Candidates are the first few engines in rendezvous order. If all of them are overloaded, the
/// less loaded of two random engines of the region is added, and likewise of other regions if the
/// router allows them. Few candidates keep a prefix from being cached on every engine. The random
/// choice keeps instances that share the same load reports from all sending to one idle engine.
class least_cost_policy
{
public:
    static constexpr policy_kind m_kind = policy_kind::least_cost; ///< Reported in logs.
    /// Cached depths determine the prefill time.
    static constexpr bool m_uses_cached_depths = true;

    explicit least_cost_policy(const routing_settings& settings)
        : m_overload_wait(settings.m_overload_wait), m_tie_margin(settings.m_tie_margin)
    {}

    void select(const selection_input& input, candidate_list& candidates,
                core::seeded_random& random) const;

    /// Returns the cheapest candidate; among equal ones, the less loaded of the first and a random
    /// one.
    std::size_t choose(std::span<const candidate> candidates, core::seeded_random& random) const;

private:
    bool all_overloaded(std::span<const eligible_engine> engines,
                        const candidate_list& candidates) const noexcept;

    core::duration m_overload_wait; ///< Queue time above which an engine is overloaded.
    core::duration m_tie_margin;    ///< Costs within this margin of the lowest count as equal.
};

static_assert(routing_policy<least_cost_policy>);

} // namespace tarragontrail::routing
