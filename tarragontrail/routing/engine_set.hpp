#pragma once

#include "tarragontrail/routing/engine_entry.hpp"
#include "tarragontrail/routing/engine_load.hpp"
#include "tarragontrail/routing/flat_hash_map.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace tarragontrail::routing {

/// Engine with everything that this instance believes of its current incarnation.
struct engine_record
{
    engine_entry m_entry;                         ///< Membership and placement.
    engine_load m_load;                           ///< Load.
    std::chrono::milliseconds m_block_lifetime{}; ///< Learned by its watcher; zero if unknown.
};

/// Engines known to the router, found by id.
class engine_set
{
public:
    /// Replaces the set; beliefs are kept for engines whose incarnation is not replaced.
    void assign(const std::vector<engine_entry>& entries);

    /// Drops what is believed of older incarnations; an older or equal one changes nothing.
    void on_incarnation(core::upstream_id engine, core::incarnation incarnation);

    /// Record of an engine, or null.
    engine_record* find(core::upstream_id engine) noexcept;
    const engine_record* find(core::upstream_id engine) const noexcept;

    std::span<engine_record> records() noexcept { return m_records; }
    std::span<const engine_record> records() const noexcept { return m_records; }

private:
    void reset_for_incarnation(engine_record& record, core::incarnation incarnation);

    std::vector<engine_record> m_records;    ///< Engines in the order given.
    flat_hash_map<std::uint32_t> m_position; ///< Positions by engine.
};

} // namespace tarragontrail::routing
