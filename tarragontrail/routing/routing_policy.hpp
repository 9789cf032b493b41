#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/candidate.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>

namespace tarragontrail::routing {

/// What a policy selects candidates from.
struct selection_input
{
    std::span<const eligible_engine> m_local;  ///< Engines of this region.
    std::span<const eligible_engine> m_remote; ///< Engines of other regions; empty unless allowed.
    std::uint64_t m_key = 0;                   ///< Hashing key of the prompt.
    std::optional<std::uint64_t> m_previous_key; ///< Key before a recent change of depth.
    std::size_t m_candidates_per_key = 1;        ///< Hashed candidates for each key.

    /// Engines of this region, or those of other regions when it has none.
    std::span<const eligible_engine> preferred() const noexcept
    {
        return m_local.empty() ? m_remote : m_local;
    }

    /// Origin of the preferred engines when they are chosen by hashing.
    candidate_origin preferred_origin(candidate_origin local) const noexcept
    {
        return m_local.empty() ? candidate_origin::other_region : local;
    }
};

/// Way to choose an engine: first candidates, then one of them once their depths are known.
///
/// `select` fills the list; an empty list means that no engine is left. `choose` gets candidates
/// with their costs, at least one, and returns a position. `m_kind` names it in log lines, and
/// `m_uses_cached_depths` says whether lookups are worth sending.
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

/// Adds the `count` options with the highest rendezvous scores for a key, best first.
void add_by_rendezvous(std::span<const eligible_engine> engines, std::uint64_t key,
                       std::size_t count, candidate_origin origin,
                       candidate_list& candidates) noexcept;

/// Adds the less loaded of two options drawn at random.
void add_less_loaded_of_two(std::span<const eligible_engine> engines, candidate_origin origin,
                            candidate_list& candidates, core::seeded_random& random) noexcept;

} // namespace tarragontrail::routing
