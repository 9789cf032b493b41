#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/flat_hash_map.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace tarragontrail::routing {

/// Predicts which blocks engines have cached, from the prompts that this instance sent them;
/// engines confirm them by events later.
///
/// Entries are keyed by engine and incarnation, so a restart of the engine invalidates all of its
/// entries at once. When the capacity is reached, the oldest entries are evicted.
class predicted_blocks
{
public:
    explicit predicted_blocks(std::size_t capacity);

    /// Inserts all hashes of a chain that was sent to an engine.
    void insert(core::upstream_id engine, core::incarnation incarnation,
                std::span<const std::uint64_t> hashes, core::time_point now);

    /// Number of leading pieces of a chain that are predicted and were inserted at most `max_age`
    /// ago.
    std::size_t depth(core::upstream_id engine, core::incarnation incarnation,
                      std::span<const std::uint64_t> hashes, core::duration max_age,
                      core::time_point now) const noexcept;

    std::size_t size() const noexcept { return m_entries.size(); }
    std::size_t bytes() const noexcept;

private:
    struct insertion
    {
        std::uint64_t m_key = 0;
        core::time_point m_inserted_at{}; ///< Equals the time in m_entries unless the key was
                                          ///< inserted again since.
    };

    void insert_key(std::uint64_t key, core::time_point now);
    void evict_oldest() noexcept;

    flat_hash_map<core::time_point> m_entries; ///< Time of the last insertion of each key.
    std::vector<insertion> m_insertions;       ///< Ring buffer of insertions.
    std::size_t m_first = 0;                   ///< Position of the oldest insertion.
    std::size_t m_count = 0;                   ///< Insertions in the ring buffer.
};

} // namespace tarragontrail::routing
