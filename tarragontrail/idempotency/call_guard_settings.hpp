#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tarragontrail::idempotency {

/// Settings of call_guard.
struct call_guard_settings
{
    std::string m_table = "calls";  ///< Table that holds the intents.
    std::size_t m_max_calls = 4096; ///< Calls held in memory, waiters included.
    std::size_t m_max_answer_bytes =
        std::size_t{8} * 1024 * 1024;                   ///< Answers held until they are stored.
    std::size_t m_max_row_body_bytes = 4096;            ///< Larger bodies go to the object store.
    std::size_t m_max_batch = 32;                       ///< Rows in one transaction.
    std::size_t m_max_transactions = 4;                 ///< Transactions in flight.
    std::size_t m_max_reads = 4;                        ///< Reads in flight.
    std::chrono::milliseconds m_intent_batch_delay{2};  ///< An intent waits this long for company.
    std::chrono::milliseconds m_answer_batch_delay{20}; ///< An answer waits this long for company.
    std::chrono::milliseconds m_initial_backoff{
        50};                                       ///< First pause after a failed table operation.
    std::chrono::milliseconds m_max_backoff{2000}; ///< Longest pause after failed operations.
    std::chrono::milliseconds m_max_wait{5000};    ///< A call waits this long for its intent, and a
                                                   ///< repeat for the first call.
    std::chrono::milliseconds m_initial_poll_delay{50}; ///< First pause between a repeat's reads.
    std::chrono::milliseconds m_max_poll_delay{1000};   ///< Longest pause between a repeat's reads.
    std::uint64_t m_max_attempts = 3; ///< Dispatches of one call, all but one proven not run.
    std::chrono::milliseconds m_attempt_delay{20}; ///< Pause before the next dispatch of a call.
};

} // namespace tarragontrail::idempotency
