#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tarragontrail::routing {

/// Asks an engine's watcher how many leading pieces of a prefix chain the engine has cached.
struct lookup_request
{
    std::uint64_t m_lookup_id = 0;     ///< Chosen by the sender; the reply repeats it.
    core::upstream_id m_engine{};      ///< Engine whose cache is looked up.
    core::incarnation m_incarnation{}; ///< Incarnation of the engine that m_depth_lower holds for.
    std::uint64_t m_depth_lower = 0;   ///< Number of leading pieces already known to be cached.
    std::vector<std::uint64_t> m_depths; ///< Depths to check, in pieces, ascending.
    std::vector<std::uint64_t> m_hashes; ///< Chain hash at each of m_depths.

    bool operator==(const lookup_request&) const = default;
};

/// Reply of an engine's watcher to a lookup request.
struct lookup_reply
{
    std::uint64_t m_lookup_id = 0;     ///< From the request.
    core::upstream_id m_engine{};      ///< From the request.
    core::incarnation m_incarnation{}; ///< Incarnation of the engine that the reply holds for.
    std::uint64_t m_depth_lower = 0;   ///< Number of leading pieces that are cached.
    std::uint64_t m_depth_upper = 0;   ///< Upper bound on that number.
    bool m_known = false;              ///< False while the watcher's index is incomplete.
    /// Mean time from store to eviction; zero if unknown.
    std::chrono::milliseconds m_block_lifetime{};

    bool operator==(const lookup_reply&) const = default;
};

/// Anchor depth of one group of chains, spread by gossip; see anchor_depth_learner.
struct anchor_hint
{
    /// Hash of the identity without its weights version; see anchor_group_of.
    std::uint64_t m_group = 0;
    std::uint64_t m_epoch = 0;      ///< Number of changes of the group's depth so far.
    std::uint64_t m_samples = 0;    ///< Chains that the proposer counted.
    std::uint64_t m_depth = 0;      ///< Depth of the rendezvous key, in pieces.
    core::instance_id m_proposer{}; ///< Instance that proposed the depth.

    bool operator==(const anchor_hint&) const = default;
};

/// Batch of changes of an engine's cache; a hash is in at most one of the lists.
struct cache_event
{
    core::incarnation m_incarnation{};
    std::uint64_t m_sequence = 0;        ///< Sequence number of the batch; the first has 1.
    std::vector<std::uint64_t> m_stored; ///< Hashes of blocks that the engine added to its cache.
    /// Hashes of blocks that the engine removed from its cache.
    std::vector<std::uint64_t> m_evicted;

    bool operator==(const cache_event&) const = default;
};

/// Complete content of an engine's cache after the batch m_sequence.
struct cache_snapshot
{
    core::incarnation m_incarnation{};
    std::uint64_t m_sequence = 0;        ///< Last batch contained; zero for none.
    std::vector<std::uint64_t> m_blocks; ///< Hashes of all cached blocks.

    bool operator==(const cache_snapshot&) const = default;
};

} // namespace tarragontrail::routing
