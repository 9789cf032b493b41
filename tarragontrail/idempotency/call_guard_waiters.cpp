// Part of call_guard that answers and refuses waiting callers.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/idempotency/call_guard.hpp"

#include <algorithm>

namespace tarragontrail::idempotency {

using core::execution;

void call_guard::answer_all(guarded_entry& entry, const service_answer& result, bool replayed)
{
    for (const call_waiter& waiter : entry.m_waiters)
    {
        m_actions.emplace_back(answer{waiter.m_request, result, replayed || waiter.m_repeat});
    }
    m_waiter_count -= entry.m_waiters.size();
    entry.m_waiters.clear();
}

void call_guard::refuse_all(guarded_entry& entry, const refusal_details& state)
{
    TARRAGONTRAIL_INVARIANT(
        state.m_execution != execution::not_run ||
            (entry.m_phase != entry_phase::dispatched && entry.m_phase != entry_phase::storing),
        "refused_not_run_was_not_dispatched");
    for (const call_waiter& waiter : entry.m_waiters)
    {
        refuse_call(waiter.m_request, state);
    }
    m_waiter_count -= entry.m_waiters.size();
    entry.m_waiters.clear();
}

void call_guard::refuse_call(core::request_id request, const refusal_details& state)
{
    m_actions.emplace_back(refuse{request, state.m_reason, state.m_execution, state.m_earlier});
}

core::time_point call_guard::wait_limit_of(const guarded_entry& entry, const call_waiter& waiter)
{
    // Before the dispatch an early refusal loses nothing, so callers do not wait until their
    // deadline for a table service that is down.
    const bool bounded = entry.m_phase == entry_phase::claiming ||
                         entry.m_phase == entry_phase::polling ||
                         (entry.m_phase == entry_phase::dispatched && waiter.m_repeat);
    return bounded ? std::min(waiter.m_deadline, waiter.m_wait_limit) : waiter.m_deadline;
}

void call_guard::expire_waiters(guarded_entry& entry, core::time_point now)
{
    // The phase of the entry determines how an expired caller is refused.
    refusal_details state{refusal::store_unavailable, execution::not_run, execution::unknown};
    switch (entry.m_phase)
    {
    case entry_phase::waiting_to_retry:
        state = {refusal::upstream_refused, execution::not_run, execution::not_run};
        break;
    case entry_phase::dispatched:
    case entry_phase::polling:
        state = {refusal::in_progress, execution::unknown, execution::unknown};
        break;
    case entry_phase::fetching:
        state = {refusal::answer_lost, execution::run, execution::run};
        break;
    default:
        break;
    }

    const auto expired = [&](const call_waiter& waiter) {
        if (wait_limit_of(entry, waiter) > now)
        {
            return false;
        }
        refuse_call(waiter.m_request, state);
        return true;
    };
    m_waiter_count -= std::erase_if(entry.m_waiters, expired);
}

} // namespace tarragontrail::idempotency
