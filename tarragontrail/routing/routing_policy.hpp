#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/candidate.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>

namespace tarragontrail::routing {

/// Input from which a policy selects candidates.
struct selection_input
{
    std::span<const eligible_engine> m_local; ///< Engines of this region.
    /// Engines of other regions; empty unless they may be used.
    std::span<const eligible_engine> m_remote;
    std::uint64_t m_key = 0;                     ///< Rendezvous key of the prompt.
    std::optional<std::uint64_t> m_previous_key; ///< Key before a recent change of depth.
    std::size_t m_candidates_per_key = 1;

    /// Engines of this region, or of other regions if this one has none.
    std::span<const eligible_engine> preferred() const noexcept
    {
        return m_local.empty() ? m_remote : m_local;
    }

    /// Origin of candidates from preferred(); `local` if they are of this region.
    candidate_origin preferred_origin(candidate_origin local) const noexcept
    {
        return m_local.empty() ? candidate_origin::other_region : local;
    }
};

/// Policy that selects candidates, and chooses one of them once their cached depths are known.
///
/// `select` fills the list; an empty list means that no engine is available. `choose` gets at least
/// one candidate, with costs, and returns a position. `m_kind` identifies the policy in logs, and
/// `m_uses_cached_depths` tells whether it needs lookups.
template <class Policy>
concept routing_policy = requires(const Policy& policy, const selection_input& input,
                                  candidate_list& candidates, core::seeded_random& random)
{
    {
        Policy::m_kind
        } -> std::convertible_to<policy_kind>;
    {
        Policy::m_uses_cached_depths
        } -> std::convertible_to<bool>;
    policy.select(input, candidates, random);
    {
        policy.choose(candidates.items(), random)
        } -> std::same_as<std::size_t>;
};

/// Adds the `count` engines with the highest rendezvous scores for a key, best first.
void add_by_rendezvous(std::span<const eligible_engine> engines, std::uint64_t key,
                       std::size_t count, candidate_origin origin,
                       candidate_list& candidates) noexcept;

/// Adds the less loaded of two random engines (power of two choices).
void add_less_loaded_of_two(std::span<const eligible_engine> engines, candidate_origin origin,
                            candidate_list& candidates, core::seeded_random& random) noexcept;

} // namespace tarragontrail::routing
