#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/flat_hash_map.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace tarragontrail::routing {

/// Blocks that engines should hold because this instance sent the prompts, before any event says
/// so.
///
/// Entries are keyed by engine and incarnation together, so a restart of the engine drops all of
/// its entries at once. The oldest entries make room for new ones.
class predicted_blocks
{
public:
    explicit predicted_blocks(std::size_t capacity);

    /// Enters a whole chain sent to an engine.
    void insert(core::upstream_id engine, core::incarnation incarnation,
                std::span<const std::uint64_t> hashes, core::time_point now);

    /// Leading pieces of a chain that are predicted and not older than `max_age`.
    std::size_t depth(core::upstream_id engine, core::incarnation incarnation,
                      std::span<const std::uint64_t> hashes, core::duration max_age,
                      core::time_point now) const noexcept;

    std::size_t size() const noexcept { return m_entries.size(); }
    std::size_t bytes() const noexcept;

private:
    /// Entry in order of insertion.
    struct insertion
    {
        std::uint64_t m_key = 0;          ///< Key in the table.
        core::time_point m_inserted_at{}; ///< Time in the table unless entered again since.
    };

    void insert_key(std::uint64_t key, core::time_point now);
    void evict_oldest() noexcept;

    flat_hash_map<core::time_point> m_entries; ///< Time of the last insertion of each key.
    std::vector<insertion> m_insertions;       ///< Ring of insertions.
    std::size_t m_first = 0;                   ///< Oldest insertion.
    std::size_t m_count = 0;                   ///< Insertions in the ring.
};

} // namespace tarragontrail::routing
