// Part of call_guard that evaluates the row found by a read or a write conflict.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/idempotency/call_guard.hpp"

namespace tarragontrail::idempotency {

using core::execution;

void call_guard::on_row(guarded_entry& entry, const read_result& found, core::time_point now)
{
    const row_version version = found.m_found ? found.m_version : 0;
    const bool polling = entry.m_phase == entry_phase::polling;
    if (!found.m_found && polling)
    {
        start_claim(entry, 0, now);
        return;
    }

    // Either this entry's write took effect, or it did not and is sent again.
    if (!polling && found.m_found && found.m_value == entry.m_target_bytes)
    {
        on_write_confirmed(entry, version, now);
        return;
    }
    if (!polling && (!found.m_found || version == entry.m_expected_version))
    {
        entry.m_expected_version = version;
        write_target(entry, m_settings.m_intent_batch_delay, now);
        return;
    }

    call_row row;
    try
    {
        row = decode_row(found.m_value);
    }
    catch (const call_row_error&)
    {
        on_unreadable(entry);
        return;
    }

    // The row holds an earlier write of this entry, which the next one replaces.
    if (!polling && row.m_owner == entry.m_target.m_owner)
    {
        entry.m_expected_version = version;
        write_target(entry, m_settings.m_intent_batch_delay, now);
        return;
    }
    on_other_owner(entry, row, version, now);
}

void call_guard::on_write_confirmed(guarded_entry& entry, row_version version, core::time_point now)
{
    entry.m_expected_version = version;
    entry.m_due = core::time_point::max();
    switch (entry.m_phase)
    {
    case entry_phase::claiming:
        entry.m_intent_confirmed = true;
        entry.m_maybe_written = true;
        start_dispatch(entry, now);
        if (entry.m_phase == entry_phase::claiming)
        {
            // No caller waits any longer; the confirmed intent is released at the end of the event.
            entry.m_phase = entry_phase::waiting_to_retry;
        }
        return;
    case entry_phase::releasing:
        if (entry.m_waiters.empty())
        {
            entry.m_closed = true;
            return;
        }
        start_claim(entry, version, now);
        return;
    default:
        entry.m_closed = true;
        return;
    }
}

void call_guard::on_other_owner(guarded_entry& entry, const call_row& row, row_version version,
                                core::time_point now)
{
    TARRAGONTRAIL_INVARIANT(entry.m_phase != entry_phase::storing,
                            "dispatched_intent_belongs_to_its_writer");
    if (entry.m_phase == entry_phase::releasing && entry.m_waiters.empty())
    {
        entry.m_closed = true;
        return;
    }
    if (row.m_state == call_state::released)
    {
        start_claim(entry, version, now);
        return;
    }

    // No write of this entry can take effect any longer, as the row's version has changed.
    entry.m_maybe_written = false;
    if (row.m_fingerprint != entry.m_fingerprint)
    {
        entry.m_phase = entry_phase::polling;
        refuse_all(entry, {refusal::key_reused, execution::not_run, execution::unknown});
        entry.m_closed = true;
        return;
    }
    const bool writer_gone = row.m_owner.m_instance == m_self && row.m_owner.m_started != m_started;
    if (row.m_state == call_state::intended && !writer_gone)
    {
        start_polling(entry, now);
        return;
    }
    entry.m_phase = entry_phase::fetching;
    if (row.m_state != call_state::answered)
    {
        refuse_all(entry, {refusal::outcome_unknown, execution::unknown, execution::unknown});
        entry.m_closed = true;
        return;
    }

    // The stored answer is sent to all waiting callers.
    entry.m_answer = row.m_answer;
    if (row.m_object.empty())
    {
        answer_all(entry, entry.m_answer, true);
        entry.m_closed = true;
        return;
    }
    entry.m_target.m_object = row.m_object;
    entry.m_backoff = core::duration::zero();
    read_object(entry);
}

void call_guard::on_unreadable(guarded_entry& entry)
{
    // Nothing is known of the call of such a row, and the row is never overwritten.
    if (entry.m_phase != entry_phase::storing)
    {
        entry.m_phase = entry_phase::polling;
        refuse_all(entry, {refusal::store_unavailable, execution::not_run, execution::unknown});
    }
    entry.m_closed = true;
}

} // namespace tarragontrail::idempotency
