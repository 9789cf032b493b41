#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/routing/actions.hpp"
#include "tarragontrail/routing/block_lifetime_estimator.hpp"
#include "tarragontrail/routing/flat_hash_map.hpp"
#include "tarragontrail/routing/messages.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace tarragontrail::routing {

/// Index of the blocks in one engine's cache, maintained from the engine's event stream by the
/// instance that watches the engine, its watcher.
///
/// It is complete while it has applied every event since an empty cache or a snapshot. After a gap
/// in the sequence numbers or a lost stream it is incomplete and reports no block as cached. It
/// then requests a snapshot, unless the missing batches arrive first.
class cached_block_index
{
public:
    cached_block_index(core::upstream_id engine, const cached_block_index_settings& settings);

    /// Processes one batch of the engine's events. Batches may arrive in any order and repeatedly.
    void on_event(const cache_event& event, core::time_point now);

    /// Processes a snapshot, whether it was requested or not.
    void on_snapshot(const cache_snapshot& snapshot, core::time_point now);

    /// Records the last sequence number that the engine reports to have used, for example in a load
    /// report.
    void on_sequence_announced(core::incarnation incarnation, std::uint64_t sequence,
                               core::time_point now);

    /// Records that the event stream was lost; the index is incomplete until the next snapshot.
    void on_stream_lost(core::time_point now);

    /// Requests a snapshot that is due, or repeats a request that got no answer.
    void on_timer(core::time_point now);

    /// Time at which on_timer must be called next.
    std::optional<core::time_point> next_deadline() const noexcept { return m_request_at; }

    /// Returns and clears the requests made since the last call.
    std::vector<request_snapshot> take_snapshot_requests();

    /// Number of leading pieces of a chain that are cached; zero while the index is incomplete.
    std::size_t depth(std::span<const std::uint64_t> hashes) const noexcept;

    /// Whether a block is cached; false while the index is incomplete.
    bool contains(std::uint64_t hash) const noexcept
    {
        return m_complete && m_blocks.contains(hash);
    }

    /// Whether no event is missing.
    bool is_complete() const noexcept { return m_complete; }

    /// Last batch contained in the entries.
    std::uint64_t applied_sequence() const noexcept { return m_applied_sequence; }

    core::incarnation incarnation() const noexcept { return m_incarnation; }

    core::upstream_id engine() const noexcept { return m_engine; }
    std::size_t size() const noexcept { return m_blocks.size(); }
    std::size_t bytes() const noexcept { return m_blocks.bytes(); }

    /// Number of stored blocks left out because the byte budget was exhausted.
    std::uint64_t refused_blocks() const noexcept { return m_refused_blocks; }

    /// Mean time from store to eviction; zero until an eviction was sampled.
    std::chrono::milliseconds block_lifetime() const noexcept
    {
        return m_block_lifetime.estimate();
    }

private:
    void reset_for_incarnation(core::incarnation incarnation);
    void schedule_snapshot_request(core::time_point now);
    void apply_event(const cache_event& event, core::time_point now);
    void buffer_event(const cache_event& event);
    void apply_buffered(core::time_point now);
    void update_completeness(core::time_point now);

    core::upstream_id m_engine; ///< Engine whose blocks are indexed.
    cached_block_index_settings m_settings;
    core::incarnation m_incarnation{};    ///< Incarnation that the entries belong to.
    std::uint64_t m_applied_sequence = 0; ///< Last batch contained in the entries.
    std::uint64_t m_highest_sequence = 0; ///< Highest sequence number received or announced.
    bool m_has_baseline = false; ///< Whether the entries were complete at batch m_applied_sequence.
    bool m_complete = false;     ///< Whether no event is missing, so that lookups may be answered.
    flat_hash_map<no_value> m_blocks;    ///< Hashes of the cached blocks.
    std::vector<cache_event> m_buffered; ///< Batches received after a gap, by sequence number.
    block_lifetime_estimator m_block_lifetime;
    /// Time of the next snapshot request, while one is due.
    std::optional<core::time_point> m_request_at;
    core::time_point m_earliest_request_at{}; ///< No snapshot is requested before this time.
    std::vector<request_snapshot> m_snapshot_requests; ///< Snapshot requests not yet taken.
    std::uint64_t m_refused_blocks = 0; ///< Stored blocks left out by the byte budget.
};

} // namespace tarragontrail::routing
