#pragma once

#include "tarragontrail/routing/engine_entry.hpp"
#include "tarragontrail/routing/engine_load.hpp"
#include "tarragontrail/routing/flat_hash_map.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace tarragontrail::routing {

/// Engine with its load and block lifetime. The load belongs to the current incarnation.
struct engine_record
{
    engine_entry m_entry; ///< State from membership and placement.
    engine_load m_load;
    std::chrono::milliseconds m_block_lifetime{}; ///< Time from store to eviction, reported by its
                                                  ///< watcher; zero if unknown.
};

/// Known engines, found by id.
class engine_set
{
public:
    /// Replaces the set. The load of an engine is kept unless its incarnation is superseded.
    void assign(const std::vector<engine_entry>& entries);

    /// Clears the engine's load if `incarnation` is newer than the current one; otherwise does
    /// nothing.
    void on_incarnation(core::upstream_id engine, core::incarnation incarnation);

    /// Returns null if the engine is unknown.
    engine_record* find(core::upstream_id engine) noexcept;
    const engine_record* find(core::upstream_id engine) const noexcept;

    std::span<engine_record> records() noexcept { return m_records; }
    std::span<const engine_record> records() const noexcept { return m_records; }

private:
    void reset_for_incarnation(engine_record& record, core::incarnation incarnation);

    std::vector<engine_record> m_records;    ///< Engines in the order given to assign.
    flat_hash_map<std::uint32_t> m_position; ///< Positions in m_records by engine id.
};

} // namespace tarragontrail::routing
