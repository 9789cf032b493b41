// Part of call_guard that moves entries between phases and reads and writes their rows.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/idempotency/call_guard.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace tarragontrail::idempotency {

using core::execution;

void call_guard::start_claim(guarded_entry& entry, row_version expected_version,
                             core::time_point now)
{
    // Each claim has its own nonce, so that a late write of an earlier claim is not taken for this
    // one.
    entry.m_phase = entry_phase::claiming;
    entry.m_intent_confirmed = false;
    entry.m_maybe_written = false;
    entry.m_expected_version = expected_version;
    entry.m_backoff = core::duration::zero();
    entry.m_target = call_row{};
    entry.m_target.m_owner = {m_self, m_started, entry.m_dispatch, m_random()};
    entry.m_target.m_fingerprint = entry.m_fingerprint;
    set_target(entry, call_state::intended);
    write_target(entry, m_settings.m_intent_batch_delay, now);
}

void call_guard::start_dispatch(guarded_entry& entry, core::time_point now)
{
    expire_waiters(entry, now);
    if (entry.m_waiters.empty())
    {
        return;
    }
    TARRAGONTRAIL_INVARIANT(entry.m_row_key.empty() || entry.m_intent_confirmed,
                            "dispatch_follows_settled_intent");
    TARRAGONTRAIL_INVARIANT(entry.m_attempts == 0 || entry.m_phase == entry_phase::waiting_to_retry,
                            "dispatch_repeated_only_if_not_run");
    m_entry_by_dispatch.erase(entry.m_dispatch);
    entry.m_dispatch = entry.m_waiters.front().m_request;
    m_entry_by_dispatch[entry.m_dispatch] = entry.m_id;
    entry.m_phase = entry_phase::dispatched;
    ++entry.m_attempts;
    m_actions.emplace_back(
        dispatch{entry.m_dispatch, entry.m_attempts, entry.m_waiters.front().m_deadline});
}

void call_guard::start_release(guarded_entry& entry, core::time_point now)
{
    if (entry.m_row_key.empty())
    {
        entry.m_closed = true;
        return;
    }
    const bool claiming = entry.m_phase == entry_phase::claiming;
    entry.m_phase = entry_phase::releasing;
    entry.m_intent_confirmed = false;
    entry.m_attempts = 0;
    set_target(entry, call_state::released);
    if (!claiming)
    {
        write_target(entry, m_settings.m_intent_batch_delay, now);
        return;
    }

    // A claim whose write was never sent needs no release; one in flight is resolved first.
    if (!m_batcher.cancel(entry.m_id))
    {
        return;
    }
    if (!entry.m_maybe_written)
    {
        entry.m_closed = true;
        return;
    }
    write_target(entry, m_settings.m_intent_batch_delay, now);
}

void call_guard::start_store(guarded_entry& entry, call_state state, core::time_point now)
{
    if (entry.m_row_key.empty())
    {
        entry.m_closed = true;
        return;
    }
    entry.m_phase = entry_phase::storing;
    entry.m_backoff = core::duration::zero();
    if (state == call_state::answered)
    {
        entry.m_held_bytes = entry.m_answer.m_body.size() + entry.m_answer.m_headers.size();
        m_answer_bytes += entry.m_held_bytes;
        entry.m_target.m_answer = entry.m_answer;
        if (entry.m_answer.m_body.size() > m_settings.m_max_row_body_bytes)
        {
            entry.m_target.m_answer.m_body.clear();
            entry.m_target.m_object =
                fmt::format("{}/{}/{:016x}", m_settings.m_table, entry.m_row_key,
                            entry.m_target.m_owner.m_attempt_nonce);
        }
    }
    set_target(entry, state);
    if (!entry.m_target.m_object.empty())
    {
        write_object(entry);
        return;
    }
    write_target(entry, m_settings.m_answer_batch_delay, now);
}

void call_guard::start_polling(guarded_entry& entry, core::time_point now)
{
    if (entry.m_phase != entry_phase::polling)
    {
        entry.m_phase = entry_phase::polling;
        entry.m_backoff = m_settings.m_initial_poll_delay / 2;
    }
    back_off(entry, m_settings.m_max_poll_delay, now);
}

void call_guard::close_if_abandoned(guarded_entry& entry, core::time_point now)
{
    if (!entry.m_waiters.empty())
    {
        return;
    }
    switch (entry.m_phase)
    {
    case entry_phase::claiming:
    case entry_phase::waiting_to_retry:
        start_release(entry, now);
        return;
    case entry_phase::polling:
    case entry_phase::fetching:
        entry.m_closed = true;
        return;
    default:
        return;
    }
}

void call_guard::run_next_step(guarded_entry& entry, core::time_point now)
{
    if (entry.m_phase == entry_phase::waiting_to_retry)
    {
        start_dispatch(entry, now);
        return;
    }
    if (entry.m_phase == entry_phase::fetching)
    {
        read_object(entry);
        return;
    }
    if (entry.m_phase == entry_phase::storing && !entry.m_target.m_object.empty() &&
        !entry.m_object_stored)
    {
        write_object(entry);
        return;
    }
    // Limits the reads in flight, so that the reads of all entries do not overload the table
    // service when it returns after an outage.
    if (m_entry_by_operation.size() >= m_settings.m_max_reads)
    {
        back_off(entry, m_settings.m_max_backoff, now);
        return;
    }
    read_row(entry);
}

void call_guard::set_target(guarded_entry& entry, call_state state)
{
    entry.m_target.m_state = state;
    entry.m_target_bytes = encode_row(entry.m_target);
}

void call_guard::write_target(guarded_entry& entry, core::duration batch_delay,
                              core::time_point now)
{
    entry.m_submitted_state = entry.m_target.m_state;
    entry.m_due = core::time_point::max();
    m_batcher.submit(
        entry.m_id,
        {m_settings.m_table, entry.m_row_key, entry.m_expected_version, entry.m_target_bytes},
        now + batch_delay);
}

void call_guard::write_object(guarded_entry& entry)
{
    m_actions.emplace_back(
        object_write{start_operation(entry), entry.m_target.m_object, entry.m_answer.m_body});
}

void call_guard::read_object(guarded_entry& entry)
{
    m_actions.emplace_back(object_read{start_operation(entry), entry.m_target.m_object});
}

void call_guard::read_row(guarded_entry& entry)
{
    m_actions.emplace_back(table_read{start_operation(entry), m_settings.m_table, entry.m_row_key});
}

void call_guard::back_off(guarded_entry& entry, core::duration limit, core::time_point now)
{
    const core::duration first = m_settings.m_initial_backoff;
    entry.m_backoff = entry.m_backoff == core::duration::zero()
                          ? first
                          : std::min<core::duration>(entry.m_backoff * 2, limit);
    entry.m_due = now + core::scaled(entry.m_backoff, 0.5 + 0.5 * m_random.unit());
}

void call_guard::on_table_read(std::uint64_t operation, const read_result& result,
                               core::time_point now)
{
    guarded_entry* const entry = touch_operation(operation);
    if (entry == nullptr)
    {
        return;
    }
    on_row(*entry, result, now);
    finish_event(now);
}

void call_guard::on_table_written(std::uint64_t operation, const write_result& result,
                                  core::time_point now)
{
    std::vector<write_outcome> outcomes;
    m_batcher.on_written(operation, result, now, outcomes);
    for (const write_outcome& outcome : outcomes)
    {
        on_write_outcome(outcome, now);
    }
    finish_event(now);
}

void call_guard::on_table_failed(std::uint64_t operation, core::time_point now)
{
    std::vector<write_outcome> outcomes;
    m_batcher.on_failed(operation, outcomes);
    for (const write_outcome& outcome : outcomes)
    {
        on_write_outcome(outcome, now);
    }
    if (guarded_entry* const entry = touch_operation(operation))
    {
        back_off(*entry, m_settings.m_max_backoff, now);
    }
    finish_event(now);
}

void call_guard::on_object_done(std::uint64_t operation, bool found, std::string content,
                                core::time_point now)
{
    guarded_entry* const entry = touch_operation(operation);
    if (entry == nullptr)
    {
        return;
    }
    if (!found)
    {
        back_off(*entry, m_settings.m_max_backoff, now);
    }
    else if (entry->m_phase == entry_phase::storing)
    {
        entry->m_object_stored = true;
        write_target(*entry, m_settings.m_answer_batch_delay, now);
    }
    else if (entry->m_phase == entry_phase::fetching)
    {
        entry->m_answer.m_body = std::move(content);
        answer_all(*entry, entry->m_answer, true);
        entry->m_closed = true;
    }
    finish_event(now);
}

void call_guard::on_write_outcome(const write_outcome& outcome, core::time_point now)
{
    guarded_entry* const entry = touch(outcome.m_write_id);
    if (entry == nullptr)
    {
        return;
    }
    switch (outcome.m_kind)
    {
    case write_outcome::kind::written:
        if (entry->m_submitted_state == entry->m_target.m_state)
        {
            on_write_confirmed(*entry, outcome.m_version, now);
            return;
        }
        entry->m_expected_version = outcome.m_version;
        write_target(*entry, m_settings.m_intent_batch_delay, now);
        return;
    case write_outcome::kind::conflict:
        on_row(*entry, outcome.m_current, now);
        return;
    case write_outcome::kind::unknown:
        entry->m_maybe_written = true;
        back_off(*entry, m_settings.m_max_backoff, now);
        return;
    }
}

} // namespace tarragontrail::idempotency
