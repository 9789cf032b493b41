#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tarragontrail::routing {

/// Question to an engine's watcher: how much of a prefix chain does the engine hold?
struct lookup_request
{
    std::uint64_t m_lookup_id = 0;       ///< Chosen by the asking instance; returned unchanged.
    core::upstream_id m_engine{};        ///< Engine asked about.
    core::incarnation m_incarnation{};   ///< Engine's incarnation as the asker knows it.
    std::uint64_t m_depth_lower = 0;     ///< Pieces already known to be cached.
    std::vector<std::uint64_t> m_depths; ///< Numbers of pieces, ascending.
    std::vector<std::uint64_t> m_hashes; ///< Chain hash at each of the depths.

    bool operator==(const lookup_request&) const = default;
};

/// Answer to a lookup request.
struct lookup_reply
{
    std::uint64_t m_lookup_id = 0;                ///< Identifier of the request.
    core::upstream_id m_engine{};                 ///< Engine asked about.
    core::incarnation m_incarnation{};            ///< Incarnation that the answer holds for.
    std::uint64_t m_depth_lower = 0;              ///< Pieces that are cached.
    std::uint64_t m_depth_upper = 0;              ///< Pieces that may be cached.
    bool m_known = false;                         ///< False while the watcher lacks events.
    std::chrono::milliseconds m_block_lifetime{}; ///< Time from store to eviction; zero if unknown.

    bool operator==(const lookup_reply&) const = default;
};

/// Agreed hashing depth of one group of chains, spread by gossip.
struct anchor_hint
{
    std::uint64_t m_group = 0;      ///< Group of chains: an identity without its weights version.
    std::uint64_t m_epoch = 0;      ///< Number of changes of this group's depth.
    std::uint64_t m_samples = 0;    ///< Chains seen by the proposer.
    std::uint64_t m_depth = 0;      ///< Pieces in the hashing key.
    core::instance_id m_proposer{}; ///< Instance that proposed the depth.

    bool operator==(const anchor_hint&) const = default;
};

/// One batch of an engine's cache events; a hash stands in at most one of the lists.
struct cache_event
{
    core::incarnation m_incarnation{};    ///< Incarnation of the engine.
    std::uint64_t m_sequence = 0;         ///< Position in the stream; the first batch has 1.
    std::vector<std::uint64_t> m_stored;  ///< Blocks that the engine now holds.
    std::vector<std::uint64_t> m_evicted; ///< Blocks that the engine no longer holds.

    bool operator==(const cache_event&) const = default;
};

/// Whole content of an engine's cache after the batch with the given sequence number.
struct cache_snapshot
{
    core::incarnation m_incarnation{};   ///< Incarnation of the engine.
    std::uint64_t m_sequence = 0;        ///< Last batch contained; zero for none.
    std::vector<std::uint64_t> m_blocks; ///< Every block held.

    bool operator==(const cache_snapshot&) const = default;
};

} // namespace tarragontrail::routing
