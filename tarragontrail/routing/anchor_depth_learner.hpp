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

constexpr std::size_t max_anchor_depth = 32; ///< Deepest hashing key that is learned.

/// Hashing keys of one chain.
struct rendezvous_keys
{
    std::uint64_t m_depth = 0;                   ///< Pieces in the current key.
    std::uint64_t m_key = 0;                     ///< Key that orders the engines.
    std::optional<std::uint64_t> m_previous_key; ///< Key before a recent change of depth.
};

/// Group of chains that share a hashing depth: an identity without its weights version.
std::uint64_t anchor_group_of(const prefix_identity& identity) noexcept;

/// Learns at which depth the chains of a group branch, and agrees on it with other instances.
///
/// The key's depth is the first at which a group has many distinct prefixes that are still shared.
/// Hints are ordered by epoch, samples, depth and proposer; every instance keeps the greatest, so
/// all end with the same depth whatever the order of messages. After a change each prefix moves to
/// its new key at its own moment within the overlap, and until then both keys are used.
class anchor_depth_learner
{
public:
    anchor_depth_learner(core::instance_id self, const anchor_settings& settings);

    /// Counts a chain and returns its keys; a chain without pieces has the given fallback key.
    rendezvous_keys observe_chain(std::uint64_t group, const prefix_chain& chain,
                                  std::uint64_t fallback_key, core::time_point now);

    /// Merges a peer's hint; true when it replaced the own one.
    bool on_hint(const anchor_hint& hint, core::time_point now);

    /// Up to `limit` agreed hints, continuing after those of the last call.
    std::vector<anchor_hint> next_hints(std::size_t limit);

    /// Agreed depth of a group.
    std::uint64_t depth(std::uint64_t group) const noexcept;

    /// Memory held.
    std::size_t bytes() const noexcept;

private:
    static constexpr std::size_t bitmap_bits = 256;

    /// Chains of one group in the current window.
    struct group_statistics
    {
        std::uint64_t m_group = 0;             ///< Group; zero for a free place.
        std::uint64_t m_chains = 0;            ///< Chains seen.
        std::uint64_t m_last_depth = 0;        ///< Depth of the last evaluation.
        std::uint64_t m_equal_evaluations = 0; ///< Evaluations in a row with that depth.
        std::array<std::uint32_t, max_anchor_depth> m_counts{}; ///< Chains that reach a depth.
        std::array<std::bitset<bitmap_bits>, max_anchor_depth> m_seen{}; ///< Prefixes at a depth.
    };

    /// Agreed depth of one group.
    struct agreed_depth
    {
        anchor_hint m_hint;                 ///< Greatest hint.
        std::uint64_t m_previous_depth = 0; ///< Depth before the last change.
        core::time_point m_changed_at{};    ///< Time of the last change here.
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

    core::instance_id m_self;                         ///< This instance, as proposer.
    anchor_settings m_settings;                       ///< Thresholds.
    std::vector<group_statistics> m_statistics;       ///< Windows by group.
    std::vector<agreed_depth> m_agreed_depths;        ///< Agreed depths, in order of arrival.
    flat_hash_map<std::uint32_t> m_position_by_group; ///< Positions in m_agreed_depths.
    std::size_t m_next_hint = 0;                      ///< Where next_hints continues.
    std::size_t m_next_replaced = 0; ///< Agreement that makes room for the next group.
};

} // namespace tarragontrail::routing
