#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/flat_hash_map.hpp"
#include "tarragontrail/routing/messages.hpp"
#include "tarragontrail/routing/prefix_chain.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <vector>

namespace tarragontrail::routing {

constexpr std::size_t max_anchor_depth = 32; ///< Largest depth that is learned, in pieces.

/// Keys that select the engines of one chain by rendezvous hashing.
struct rendezvous_keys
{
    std::uint64_t m_depth = 0; ///< Depth of the current key, in pieces.
    std::uint64_t m_key = 0;   ///< Rendezvous key of the chain.
    /// Key before a recent change of depth, until the prefix has migrated.
    std::optional<std::uint64_t> m_previous_key;
};

/// Identifies the group of chains that share an anchor depth: all chains of an identity, whatever
/// its weights version.
std::uint64_t anchor_group_of(const prefix_identity& identity) noexcept;

/// Learns the anchor depth of each group of chains and agrees on it with other instances.
///
/// The anchor depth is the number of leading pieces whose chain hash is the rendezvous key. It is
/// the first depth at which a group has many distinct prefixes that are still shared by several
/// chains, so that requests with a common prefix reach the same engines and different prefixes
/// spread over all engines.
///
/// Hints are ordered by epoch, samples, depth and proposer. Every instance keeps the greatest hint,
/// so all instances agree on a depth in whatever order messages arrive. After a change, each prefix
/// migrates to its new key at its own time; until then both keys are used.
class anchor_depth_learner
{
public:
    anchor_depth_learner(core::instance_id self, const anchor_settings& settings);

    /// Counts a chain and returns its keys. A chain without pieces gets `fallback_key`.
    rendezvous_keys observe_chain(std::uint64_t group, const prefix_chain& chain,
                                  std::uint64_t fallback_key, core::time_point now);

    /// Merges a peer's hint; returns true if it took precedence over the current one.
    bool on_hint(const anchor_hint& hint, core::time_point now);

    /// Up to `limit` current hints, in rotation over successive calls.
    std::vector<anchor_hint> next_hints(std::size_t limit);

    /// Agreed depth of a group in pieces; the default depth if none is agreed.
    std::uint64_t depth(std::uint64_t group) const noexcept;

    /// Allocated memory in bytes.
    std::size_t bytes() const noexcept;

private:
    static constexpr std::size_t bitmap_bits = 256;

    /// Counts of one group's chains since its last evaluation.
    struct group_statistics
    {
        std::uint64_t m_group = 0;  ///< Group; zero marks a free slot.
        std::uint64_t m_chains = 0; ///< Chains counted.
        /// Result of the last evaluation; zero if the group did not branch.
        std::uint64_t m_last_depth = 0;
        std::uint64_t m_equal_evaluations = 0; ///< Consecutive evaluations with this result.
        std::array<std::uint32_t, max_anchor_depth> m_counts{}; ///< Chains that reach each depth.
        /// Bitmap of the prefixes seen at each depth.
        std::array<std::bitset<bitmap_bits>, max_anchor_depth> m_seen{};
    };

    struct agreed_depth
    {
        anchor_hint m_hint;                 ///< Hint of the highest precedence.
        std::uint64_t m_previous_depth = 0; ///< Depth before the last change, in pieces.
        core::time_point m_changed_at{}; ///< Time at which this instance applied the last change.
    };

    group_statistics& statistics_of(std::uint64_t group);
    void add_chain(group_statistics& statistics, const prefix_chain& chain) const;
    std::uint64_t branching_depth(const group_statistics& statistics) const;
    void finish_window(group_statistics& statistics, core::time_point now);
    void propose_depth(const group_statistics& statistics, core::time_point now);
    void apply_hint(const anchor_hint& hint, core::time_point now);
    bool has_migrated(const agreed_depth& agreed, std::uint64_t key,
                      core::time_point now) const noexcept;
    const agreed_depth* find(std::uint64_t group) const noexcept;

    core::instance_id m_self; ///< This instance, as proposer of hints.
    anchor_settings m_settings;
    std::vector<group_statistics> m_statistics; ///< Slots; the group's hash selects one.
    std::vector<agreed_depth> m_agreed_depths;  ///< Ring of agreed depths, in order of insertion.
    flat_hash_map<std::uint32_t> m_position_by_group; ///< Positions in m_agreed_depths.
    std::size_t m_next_hint = 0;                      ///< Position at which next_hints continues.
    std::size_t m_next_replaced = 0; ///< Position that the next new group replaces.
};

} // namespace tarragontrail::routing
