#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace tarragontrail::stand_ins {

/// Calls served since the start.
struct platform_counters
{
    std::uint64_t m_reads = 0;            ///< Row reads and scans.
    std::uint64_t m_writes = 0;           ///< Writes of one row that took effect.
    std::uint64_t m_transactions = 0;     ///< Transactions that took effect.
    std::uint64_t m_conflicts = 0;        ///< Writes and transactions with a wrong version.
    std::uint64_t m_objects_read = 0;     ///< Object reads.
    std::uint64_t m_objects_written = 0;  ///< Object writes.
    std::uint64_t m_lost_replies = 0;     ///< Answers withheld after the effect.
    std::uint64_t m_dropped_requests = 0; ///< Calls dropped before the effect.

    /// Counts by name.
    nlohmann::json to_json() const
    {
        return {{"reads", m_reads},
                {"writes", m_writes},
                {"transactions", m_transactions},
                {"conflicts", m_conflicts},
                {"objects_read", m_objects_read},
                {"objects_written", m_objects_written},
                {"lost_replies", m_lost_replies},
                {"dropped_requests", m_dropped_requests}};
    }
};

} // namespace tarragontrail::stand_ins
