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

/// Step of one key's entry at this instance.
enum class entry_phase
{
    claiming,         ///< The intent is being settled; nothing was dispatched.
    dispatched,       ///< One dispatch is outstanding.
    waiting_to_retry, ///< The last dispatch was proven not run; the next one follows.
    storing,          ///< Answer or lost outcome is being stored; the caller has its answer.
    releasing,        ///< Refused without a dispatch; the intent is being given up.
    polling,          ///< Another writer holds the row; it is read until settled.
    fetching,         ///< A stored body is being read from the object store.
};

/// Caller that waits for an entry.
struct call_waiter
{
    core::request_id m_request{};    ///< Request.
    core::time_point m_deadline{};   ///< Its caller waits no longer than this.
    core::time_point m_wait_limit{}; ///< A repeat is told "in progress" from here on.
    bool m_repeat = false;           ///< Came while an entry was there.
};

/// One key's call at this instance.
struct guarded_entry
{
    std::uint64_t m_id = 0;             ///< Number of the entry.
    std::string m_row_key;              ///< Row in the table; empty for a call without a key.
    std::uint64_t m_fingerprint = 0;    ///< Hash of method, path and body.
    entry_phase m_phase{};              ///< Step.
    std::vector<call_waiter> m_waiters; ///< Callers that wait, the first call's included.
    core::request_id m_dispatch{};      ///< Request that is dispatched.
    std::uint64_t m_attempts = 0;       ///< Dispatches made; all but the last proven not run.
    call_row m_target;                  ///< Row that is being written.
    std::string m_target_bytes;         ///< Its bytes.
    row_version m_expected_version = 0; ///< Version that the next write expects.
    call_state m_submitted_state{};     ///< State in the write submitted last.
    bool m_maybe_written = false;       ///< A write without a reply may be effective, or be yet.
    service_answer m_answer;            ///< Answer, when storing or fetching.
    bool m_intent_confirmed = false;    ///< The row was seen to hold this entry's intent.
    bool m_object_stored = false;       ///< The large body is in the object store.
    std::size_t m_held_bytes = 0;       ///< Bytes counted for the answer.
    bool m_closed = false;              ///< Nothing is left to do; erased after the event.
    core::duration m_backoff{};         ///< Pause before the next step of the same kind.
    core::time_point m_due = core::time_point::max();      ///< When the next step follows.
    core::time_point m_timer_at = core::time_point::max(); ///< Time registered with the timer set.
};

} // namespace tarragontrail::idempotency
