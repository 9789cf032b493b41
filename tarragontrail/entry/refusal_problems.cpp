#include "tarragontrail/entry/refusal_problems.hpp"

namespace tarragontrail::entry {

problem key_problem(config::key_verdict verdict)
{
    switch (verdict)
    {
    case config::key_verdict::withdrawn:
        return {problem_kind::key_withdrawn, core::execution::not_run, "the key was withdrawn", {}};
    case config::key_verdict::unknown_key:
        return {
            problem_kind::key_unknown, core::execution::not_run, "no workspace has this key", {}};
    default:
        return {problem_kind::keys_not_vouched, core::execution::not_run,
                "this instance cannot vouch for keys now", std::chrono::milliseconds(2000)};
    }
}

problem limit_problem(const limits::refused& decision)
{
    problem told;
    told.m_detail = limits::to_string(decision.m_reason);
    if (decision.m_retry_after.count() > 0)
    {
        told.m_retry_after = decision.m_retry_after;
    }
    switch (decision.m_reason)
    {
    case limits::refusal_reason::above_burst:
        told.m_kind = problem_kind::charge_above_burst;
        break;
    case limits::refusal_reason::rate_exceeded:
        told.m_kind = problem_kind::rate_exceeded;
        break;
    case limits::refusal_reason::deadline_expired:
        told.m_kind = problem_kind::deadline_passed;
        break;
    case limits::refusal_reason::unknown_workspace:
    case limits::refusal_reason::homes_unreachable:
        told.m_kind = problem_kind::limits_unreachable;
        break;
    }
    return told;
}

problem call_problem(const idempotency::refuse& action)
{
    problem told;
    told.m_execution = action.m_execution;
    switch (action.m_reason)
    {
    case idempotency::refusal::store_unavailable:
        told.m_kind = problem_kind::store_unavailable;
        told.m_detail = "the intent could not be settled at the platform's table";
        told.m_retry_after = std::chrono::milliseconds(2000);
        break;
    case idempotency::refusal::key_reused:
        told.m_kind = problem_kind::key_reused;
        told.m_detail = "another request came with this Idempotency-Key";
        break;
    case idempotency::refusal::in_progress:
        told.m_kind = problem_kind::call_in_progress;
        told.m_detail = "the first call with this Idempotency-Key is still running";
        told.m_retry_after = std::chrono::milliseconds(1000);
        break;
    case idempotency::refusal::outcome_unknown:
        told.m_kind = problem_kind::outcome_unknown;
        told.m_detail = "the call was dispatched and its outcome was not learned";
        break;
    case idempotency::refusal::upstream_refused:
        told.m_kind = problem_kind::no_upstream;
        told.m_detail = "no service accepted the call";
        told.m_retry_after = std::chrono::milliseconds(1000);
        break;
    case idempotency::refusal::overloaded:
        told.m_kind = problem_kind::overloaded;
        told.m_detail = "too many guarded calls are under way";
        told.m_retry_after = std::chrono::milliseconds(1000);
        break;
    case idempotency::refusal::answer_lost:
        told.m_kind = problem_kind::answer_lost;
        told.m_detail = "the call ran; its stored answer could not be fetched";
        told.m_retry_after = std::chrono::milliseconds(1000);
        break;
    }
    return told;
}

} // namespace tarragontrail::entry
