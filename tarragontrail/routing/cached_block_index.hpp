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

/// Blocks that one engine holds, kept by the instance that watches it.
///
/// It answers only while it has seen every event since an empty cache or a snapshot. A gap makes
/// it unknown and asks for a snapshot, until the snapshot or the missing batches close the gap.
class cached_block_index
{
public:
    cached_block_index(core::upstream_id engine, const cached_block_index_settings& settings);

    /// Takes in one batch of the engine's events, in any order and any number of times.
    void on_event(const cache_event& event, core::time_point now);

    /// Takes in a snapshot, asked for or not.
    void on_snapshot(const cache_snapshot& snapshot, core::time_point now);

    /// Notes the last sequence number the engine has used, for example from a load report.
    void on_sequence_announced(core::incarnation incarnation, std::uint64_t sequence,
                               core::time_point now);

    /// Notes a lost connection to the event stream; entries are not believed until a snapshot.
    void on_stream_lost(core::time_point now);

    /// Asks for a snapshot that is due, or again for one that did not come.
    void on_timer(core::time_point now);

    /// Moment at which on_timer has work to do.
    std::optional<core::time_point> next_deadline() const noexcept { return m_request_at; }

    /// Requests made since the last call.
    std::vector<request_snapshot> take_snapshot_requests();

    /// Number of leading pieces of a chain that are cached; zero while unknown.
    std::size_t depth(std::span<const std::uint64_t> hashes) const noexcept;

    /// Whether one block is cached; false while unknown.
    bool contains(std::uint64_t hash) const noexcept
    {
        return m_complete && m_blocks.contains(hash);
    }

    /// Whether the index has seen every event.
    bool is_complete() const noexcept { return m_complete; }

    /// Last batch contained in the entries.
    std::uint64_t applied_sequence() const noexcept { return m_applied_sequence; }

    /// Incarnation that the entries belong to.
    core::incarnation incarnation() const noexcept { return m_incarnation; }

    core::upstream_id engine() const noexcept { return m_engine; }
    std::size_t size() const noexcept { return m_blocks.size(); }
    std::size_t bytes() const noexcept { return m_blocks.bytes(); }

    /// Stored blocks left out since the byte budget was spent.
    std::uint64_t refused_blocks() const noexcept { return m_refused_blocks; }

    /// Time from store to eviction; zero before any eviction is seen.
    std::chrono::milliseconds block_lifetime() const noexcept { return m_block_lifetime.mean(); }

private:
    void reset_for_incarnation(core::incarnation incarnation);
    void schedule_snapshot_request(core::time_point now);
    void apply_event(const cache_event& event, core::time_point now);
    void buffer_event(const cache_event& event);
    void apply_buffered(core::time_point now);
    void update_completeness(core::time_point now);

    core::upstream_id m_engine;             ///< Engine watched.
    cached_block_index_settings m_settings; ///< Limits.
    core::incarnation m_incarnation{};      ///< Incarnation of the entries.
    std::uint64_t m_applied_sequence = 0;   ///< Last batch contained in the entries.
    std::uint64_t m_highest_sequence = 0;   ///< Highest sequence number heard of.
    bool m_has_baseline = false; ///< Whether the entries were whole at batch m_applied_sequence.
    bool m_complete = false;     ///< Whether the entries may be believed.
    flat_hash_map<no_value> m_blocks;             ///< Hashes of the blocks held.
    std::vector<cache_event> m_buffered;          ///< Batches after a gap, by sequence number.
    block_lifetime_estimator m_block_lifetime;    ///< Learned time from store to eviction.
    std::optional<core::time_point> m_request_at; ///< When to ask for the snapshot again.
    core::time_point m_earliest_request_at{};     ///< No request before.
    std::vector<request_snapshot> m_actions;      ///< Actions not yet taken.
    std::uint64_t m_refused_blocks = 0;           ///< Blocks left out.
};

} // namespace tarragontrail::routing
