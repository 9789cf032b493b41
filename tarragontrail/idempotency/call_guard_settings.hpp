#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tarragontrail::idempotency {

/// Limits and timing of call_guard.
struct call_guard_settings
{
    std::string m_table = "calls";  ///< Table that holds the rows of the keys.
    std::size_t m_max_calls = 4096; ///< Calls held in memory, waiting callers included.
    /// Bytes of answers held until they are stored.
    std::size_t m_max_answer_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t m_max_row_body_bytes = 4096; ///< Larger bodies are written to the object store.
    std::size_t m_max_batch = 32;            ///< Rows per transaction.
    std::size_t m_max_transactions = 4;      ///< Transactions in flight.
    std::size_t m_max_reads = 4;             ///< Reads in flight.
    /// Time that an intent waits for other writes to share a transaction.
    std::chrono::milliseconds m_intent_batch_delay{2};
    /// Time that an answer waits for other writes to share a transaction.
    std::chrono::milliseconds m_answer_batch_delay{20};
    /// First delay after a failed table operation.
    std::chrono::milliseconds m_initial_backoff{50};
    std::chrono::milliseconds m_max_backoff{2000}; ///< Longest delay after failed operations.
    std::chrono::milliseconds m_max_wait{5000};    ///< Time that a call waits for its intent, and a
                                                   ///< repeated call for the first one.
    /// First delay between the reads of a repeated call.
    std::chrono::milliseconds m_initial_poll_delay{50};
    /// Longest delay between the reads of a repeated call.
    std::chrono::milliseconds m_max_poll_delay{1000};
    /// Dispatches of one call; all but the last provably did not run.
    std::uint64_t m_max_attempts = 3;
    std::chrono::milliseconds m_attempt_delay{20}; ///< Delay before the next dispatch of a call.
};

} // namespace tarragontrail::idempotency
