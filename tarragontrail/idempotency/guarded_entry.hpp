#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/idempotency/call_row.hpp"
#include "tarragontrail/idempotency/call_types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::idempotency {

/// State of the entry of a key at this instance.
enum class entry_phase
{
    claiming,         ///< The intent is being written; nothing was dispatched.
    dispatched,       ///< A dispatch is outstanding.
    waiting_to_retry, ///< The last dispatch provably did not run; the next one follows.
    storing, ///< The answer, or the unknown outcome, is being stored; the callers were answered or
             ///< refused.
    releasing, ///< Refused without an execution; the intent is being released.
    polling,   ///< Another writer owns the row; it is read until its outcome is known.
    fetching,  ///< A stored body is being read from the object store.
};

/// Caller that waits for an entry.
struct call_waiter
{
    core::request_id m_request{};
    core::time_point m_deadline{}; ///< The caller stops waiting at this time.
    /// From this time on, a repeated call is refused as in progress.
    core::time_point m_wait_limit{};
    bool m_repeat = false; ///< Whether the call came while the entry existed.
};

/// Call of a key at this instance.
struct guarded_entry
{
    std::uint64_t m_id = 0; ///< Number of the entry.
    std::string m_row_key;  ///< Key of the row in the table; empty for a call without a key.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, path and body.
    entry_phase m_phase{};
    std::vector<call_waiter> m_waiters; ///< Waiting callers, the first one included.
    core::request_id m_dispatch{};      ///< Request that is dispatched for all waiters.
    std::uint64_t m_attempts = 0;       ///< Dispatches made; all but the last provably did not run.
    call_row m_target;                  ///< Row to be written.
    std::string m_target_bytes;         ///< m_target, encoded.
    row_version m_expected_version = 0; ///< Row version that the next write expects.
    call_state m_submitted_state{};     ///< State in the last write submitted.
    /// Whether a write without a reply may have taken effect or still may.
    bool m_maybe_written = false;
    service_answer m_answer;         ///< Valid in phases storing and fetching.
    bool m_intent_confirmed = false; ///< Whether the row was seen to hold this entry's intent.
    bool m_object_stored = false;    ///< Whether the large body is in the object store.
    std::size_t m_held_bytes = 0;    ///< Bytes counted for m_answer in the memory limit.
    bool m_closed = false;      ///< Whether the entry is finished and is erased after the event.
    core::duration m_backoff{}; ///< Delay before the next retry or poll.
    core::time_point m_due = core::time_point::max(); ///< When the next step is due.
    /// Time registered in call_guard's timers.
    core::time_point m_timer_at = core::time_point::max();
};

} // namespace tarragontrail::idempotency
