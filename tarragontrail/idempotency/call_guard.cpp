#include "tarragontrail/idempotency/call_guard.hpp"

#include <utility>

namespace tarragontrail::idempotency {

using core::execution;

call_guard::call_guard(call_guard_settings settings, core::instance_id self,
                       core::incarnation started, std::uint64_t seed)
    : m_settings(std::move(settings)), m_self(self), m_started(started), m_random(seed),
      m_batcher(m_settings.m_max_batch, m_settings.m_max_transactions)
{}

void call_guard::begin(const guarded_call& call, core::time_point now)
{
    // A call with a known key joins the entry of that key.
    const auto known = call.m_key.empty()
                           ? m_entry_by_key.end()
                           : m_entry_by_key.find(row_key(call.m_workspace, call.m_key));
    if (known != m_entry_by_key.end())
    {
        join(*touch(known->second), call, now);
        finish_event(now);
        return;
    }

    // Memory is bounded: new calls are refused, while the calls already held continue.
    if (m_entries.size() + m_waiter_count >= m_settings.m_max_calls ||
        m_answer_bytes >= m_settings.m_max_answer_bytes)
    {
        refuse_call(call.m_request, {refusal::overloaded, execution::not_run, execution::unknown});
        return;
    }

    guarded_entry& entry = open_entry(call);
    add_waiter(entry, call, now);
    if (call.m_key.empty())
    {
        start_dispatch(entry, now);
    }
    else
    {
        start_claim(entry, 0, now);
    }
    finish_event(now);
}

guarded_entry& call_guard::open_entry(const guarded_call& call)
{
    const std::uint64_t number = m_next_entry++;
    guarded_entry& entry = m_entries[number];
    entry.m_id = number;
    entry.m_fingerprint = call.m_fingerprint;
    entry.m_dispatch = call.m_request;
    if (!call.m_key.empty())
    {
        entry.m_row_key = row_key(call.m_workspace, call.m_key);
        m_entry_by_key.emplace(entry.m_row_key, number);
    }
    m_touched.push_back(number);
    return entry;
}

void call_guard::add_waiter(guarded_entry& entry, const guarded_call& call, core::time_point now)
{
    const bool repeat = entry.m_attempts > 0 || !entry.m_waiters.empty();
    entry.m_waiters.push_back(
        {call.m_request, call.m_deadline, now + m_settings.m_max_wait, repeat});
    ++m_waiter_count;
}

void call_guard::join(guarded_entry& entry, const guarded_call& call, core::time_point now)
{
    if (entry.m_fingerprint != call.m_fingerprint)
    {
        refuse_call(call.m_request, {refusal::key_reused, execution::not_run, execution::unknown});
        return;
    }
    if (entry.m_phase != entry_phase::storing)
    {
        add_waiter(entry, call, now);
        return;
    }

    // The outcome is already known at this instance.
    if (entry.m_target.m_state == call_state::answered)
    {
        m_actions.emplace_back(answer{call.m_request, entry.m_answer, true});
        return;
    }
    refuse_call(call.m_request, {refusal::outcome_unknown, execution::unknown, execution::unknown});
}

void call_guard::on_dispatch_finished(core::request_id request, std::uint64_t attempt,
                                      service_answer result, core::time_point now)
{
    guarded_entry* const entry = find_dispatched(request, attempt);
    if (entry == nullptr)
    {
        return;
    }
    entry->m_answer = std::move(result);
    answer_all(*entry, entry->m_answer, false);
    start_store(*entry, call_state::answered, now);
    finish_event(now);
}

void call_guard::on_dispatch_lost(core::request_id request, std::uint64_t attempt,
                                  core::time_point now)
{
    guarded_entry* const entry = find_dispatched(request, attempt);
    if (entry == nullptr)
    {
        return;
    }
    refuse_all(*entry, {refusal::outcome_unknown, execution::unknown, execution::unknown});
    start_store(*entry, call_state::unknown, now);
    finish_event(now);
}

void call_guard::on_dispatch_not_run(core::request_id request, std::uint64_t attempt,
                                     core::time_point now)
{
    guarded_entry* const entry = find_dispatched(request, attempt);
    if (entry == nullptr)
    {
        return;
    }
    entry->m_phase = entry_phase::waiting_to_retry;
    if (entry->m_attempts < m_settings.m_max_attempts)
    {
        const core::duration pause = m_settings.m_attempt_delay;
        entry->m_due = now + core::scaled(pause, 0.5 + 0.5 * m_random.unit());
        finish_event(now);
        return;
    }
    refuse_all(*entry, {refusal::upstream_refused, execution::not_run, execution::not_run});
    start_release(*entry, now);
    finish_event(now);
}

void call_guard::on_timer(core::time_point now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        const std::uint64_t number = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        guarded_entry& entry = *touch(number);
        entry.m_timer_at = core::time_point::max();
        if (entry.m_due > now)
        {
            continue;
        }
        entry.m_due = core::time_point::max();
        run_next_step(entry, now);
    }
    finish_event(now);
}

std::optional<core::time_point> call_guard::next_deadline() const
{
    std::optional<core::time_point> next = m_batcher.next_deadline();
    if (!m_timers.empty() && (!next || m_timers.begin()->first < *next))
    {
        next = m_timers.begin()->first;
    }
    return next;
}

std::vector<call_action> call_guard::take_actions()
{
    return std::exchange(m_actions, {});
}

bool call_guard::idle() const noexcept
{
    return m_entries.empty();
}

guarded_entry* call_guard::find_dispatched(core::request_id request, std::uint64_t attempt)
{
    const auto found = m_entry_by_dispatch.find(request);
    if (found == m_entry_by_dispatch.end())
    {
        return nullptr;
    }
    guarded_entry& entry = m_entries.at(found->second);
    if (entry.m_phase != entry_phase::dispatched || entry.m_attempts != attempt)
    {
        return nullptr;
    }
    return touch(entry.m_id);
}

guarded_entry* call_guard::touch(std::uint64_t number)
{
    const auto found = m_entries.find(number);
    if (found == m_entries.end())
    {
        return nullptr;
    }
    m_touched.push_back(number);
    return &found->second;
}

guarded_entry* call_guard::touch_operation(std::uint64_t operation)
{
    const auto found = m_entry_by_operation.find(operation);
    if (found == m_entry_by_operation.end())
    {
        return nullptr;
    }
    const std::uint64_t number = found->second;
    m_entry_by_operation.erase(found);
    return touch(number);
}

std::uint64_t call_guard::start_operation(const guarded_entry& entry)
{
    m_entry_by_operation.emplace(m_next_operation, entry.m_id);
    return m_next_operation++;
}

void call_guard::finish_event(core::time_point now)
{
    for (const std::uint64_t number : m_touched)
    {
        guarded_entry& entry = m_entries.at(number);
        if (entry.m_closed)
        {
            continue;
        }
        expire_waiters(entry, now);
        close_if_abandoned(entry, now);
    }
    m_batcher.flush(now, m_next_operation, m_actions);

    for (const std::uint64_t number : m_touched)
    {
        const auto found = m_entries.find(number);
        if (found == m_entries.end())
        {
            continue;
        }
        if (found->second.m_closed)
        {
            erase(found->second);
            continue;
        }
        update_timer(found->second);
    }
    m_touched.clear();
}

void call_guard::update_timer(guarded_entry& entry)
{
    core::time_point earliest = entry.m_due;
    for (const call_waiter& waiter : entry.m_waiters)
    {
        earliest = std::min(earliest, wait_limit_of(entry, waiter));
    }
    if (earliest == entry.m_timer_at)
    {
        return;
    }
    m_timers.erase({entry.m_timer_at, entry.m_id});
    entry.m_timer_at = earliest;
    if (earliest != core::time_point::max())
    {
        m_timers.emplace(earliest, entry.m_id);
    }
}

void call_guard::erase(guarded_entry& entry)
{
    m_timers.erase({entry.m_timer_at, entry.m_id});
    m_entry_by_key.erase(entry.m_row_key);
    m_entry_by_dispatch.erase(entry.m_dispatch);
    m_answer_bytes -= entry.m_held_bytes;
    const std::uint64_t number = entry.m_id;
    m_entries.erase(number);
}

} // namespace tarragontrail::idempotency
