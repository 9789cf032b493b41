#include "tarragontrail/relay/relay_session.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>

namespace tarragontrail::relay {

/// Another upstream may do better with a request that may run again.
bool relay_session::repeat_after_error()
{
    if (m_maybe_run + 1 >= m_route->m_max_attempts)
    {
        return false;
    }
    const auto pause = ask_retry(core::execution::run, m_sends + 1);
    if (!pause)
    {
        return false;
    }
    ++m_sends;
    ++m_maybe_run;
    const core::time_point now = core::runtime_clock::now();
    m_current.m_upstream->m_health.on_failure(now);
    ++m_current.m_upstream->m_failed_untold;
    leave_upstream(attempt_end::cut);
    observe::log("repeated", {{"request", m_request.m_id}, {"status", m_head.result_int()}});
    arm(m_retry_timer, now + *pause, &relay_session::dispatch);
    return true;
}

void relay_session::on_failed(std::uint64_t attempt, const net::call_failure& failure)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    if (failure.m_stage != net::call_stage::connecting)
    {
        on_lost(net::to_string(failure.m_fault));
        return;
    }
    // Nothing was sent, so any request may go elsewhere.
    const core::time_point now = core::runtime_clock::now();
    m_current.m_upstream->m_health.on_unreachable(now);
    if (failure.m_fault == net::call_fault::refused)
    {
        const upstream_record& at = m_current.m_upstream->m_record;
        m_state.m_crash_attribution.on_connection_refused(at.m_id, at.m_started, now);
    }
    ++m_current.m_upstream->m_failed_untold;
    leave_upstream(attempt_end::cut);
    observe::log("unreachable", {{"request", m_request.m_id},
                                 {"upstream", m_current.m_upstream->m_record.m_name},
                                 {"cause", net::to_string(failure.m_fault)}});
    if (++m_connect_failures >= m_state.m_session_settings.m_max_connect_attempts)
    {
        end_unserved(refusal_reason::no_upstream, m_state.m_session_settings.m_no_upstream_wait);
        return;
    }
    dispatch();
}

/// The upstream did not run the request.
void relay_session::on_rejected()
{
    const core::time_point now = core::runtime_clock::now();
    upstream& at = *m_current.m_upstream;
    ++m_sends;
    leave_upstream(attempt_end::cut);
    if (now >= at.m_loading_until && !at.m_leaving_since)
    {
        at.m_health.on_failure(now);
        ++at.m_failed_untold;
    }
    observe::log(
        "rejected",
        {{"request", m_request.m_id}, {"upstream", at.m_record.m_name}, {"sends", m_sends}});
    retry_or_end(core::execution::not_run, refusal_reason::overloaded);
}

/// The request was sent and its answer is lost: it may have run.
void relay_session::on_lost(const char* cause)
{
    upstream& at = *m_current.m_upstream;
    ++m_sends;
    ++m_maybe_run;
    at.m_health.on_failure(core::runtime_clock::now());
    ++at.m_failed_untold;
    leave_upstream(attempt_end::lost);
    observe::log("lost", {{"request", m_request.m_id},
                          {"upstream", at.m_record.m_name},
                          {"cause", cause},
                          {"answering", m_answering}});
    if (m_answering && !(m_mode == answer_mode::events && is_resumable_stream()))
    {
        give_up_stream(cause);
        return;
    }
    retry_or_end(core::execution::unknown, refusal_reason::outcome_unknown);
}

void relay_session::retry_or_end(core::execution execution, refusal_reason reason)
{
    const bool runs_left = m_maybe_run < m_route->m_max_attempts;
    const bool sends_left = m_sends < m_state.m_session_settings.m_max_sends;
    if (runs_left && sends_left)
    {
        if (const auto pause = ask_retry(execution, m_sends))
        {
            arm(m_retry_timer, core::runtime_clock::now() + *pause, &relay_session::dispatch);
            return;
        }
    }

    end_unserved(reason, m_state.m_admission.retry_after(m_current.m_queued, left()));
}

/// No upstream will answer: breaks an answer off that has begun, else says what is known.
void relay_session::end_unserved(refusal_reason reason, std::optional<core::duration> retry_after)
{
    if (m_answering)
    {
        give_up_stream("no_retry");
        return;
    }
    if (m_maybe_run > 0)
    {
        refuse(refusal_reason::outcome_unknown);
        return;
    }
    refuse(reason, retry_after);
}

/// Takes a retry from the fleet's budget; returns the pause before it, or nothing.
std::optional<core::duration> relay_session::ask_retry(core::execution execution,
                                                       std::uint64_t attempts)
{
    const recovery::failed_attempt failed{attempts, may_repeat(), execution, m_deadline,
                                          m_current.m_first_byte};
    const auto decision = m_state.budget_of(m_service).decide(failed, core::runtime_clock::now());
    const auto* again = std::get_if<recovery::retry>(&decision);
    if (again == nullptr)
    {
        return std::nullopt;
    }
    m_state.m_metrics.count_retry(core::to_string(execution));
    return again->m_after;
}

void relay_session::on_overdue()
{
    if (m_ended || m_first_byte || !m_at_upstream)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    observe::log("overdue", {{"request", m_request.m_id},
                             {"upstream", m_current.m_upstream->m_record.m_name},
                             {"waited_ms", rounded_milliseconds(now - m_sent)},
                             {"forecast_ms", rounded_milliseconds(m_current.m_first_byte)}});
    m_current.m_upstream->m_health.on_failure(now);
    ++m_current.m_upstream->m_failed_untold;
    const bool runs_left = m_maybe_run + 1 < m_route->m_max_attempts;
    if (!may_repeat() || !runs_left || m_answering)
    {
        return;
    }
    const auto pause = ask_retry(core::execution::unknown, m_sends + 1);
    if (!pause)
    {
        return;
    }
    m_call->cancel();
    ++m_sends;
    ++m_maybe_run;
    leave_upstream(attempt_end::cut);
    arm(m_retry_timer, now + *pause, &relay_session::dispatch);
}

void relay_session::on_deadline()
{
    if (m_ended)
    {
        return;
    }
    const bool under_way = m_at_upstream;
    if (m_call)
    {
        m_call->cancel();
    }
    leave_upstream(attempt_end::cut);
    if (m_answering)
    {
        give_up_stream("deadline");
        return;
    }
    refuse(under_way || m_maybe_run > 0 ? refusal_reason::timed_out
                                        : refusal_reason::not_run_in_time);
}

void relay_session::on_client_gone()
{
    if (m_ended)
    {
        return;
    }
    if (m_call)
    {
        m_call->cancel();
    }
    leave_upstream(attempt_end::cut);
    end(0, "client_gone");
}

void relay_session::note_first_byte()
{
    if (m_first_byte)
    {
        return;
    }
    m_first_byte = true;
    m_overdue_timer.cancel();
    m_current.m_upstream->m_load.on_first_byte(m_current.m_work);
    const core::time_point now = core::runtime_clock::now();
    const double forecast = std::max(milliseconds_of(m_current.m_first_byte), 1.0);
    m_current.m_upstream->m_health.on_success(milliseconds_of(now - m_sent) / forecast, now);
}

void relay_session::note_version(const response_metadata& answer)
{
    if (!answer.m_version || !m_prompt)
    {
        return;
    }
    upstream& at = *m_current.m_upstream;
    if (at.version_of(m_prompt->m_model) == answer.m_version)
    {
        return;
    }
    at.set_version(m_prompt->m_model, *answer.m_version);
    m_state.m_parts.forget(at.m_record.m_id);
    if (m_state.m_announcer != nullptr)
    {
        m_state.m_announcer->announce_weights(at.m_record.m_id, m_prompt->m_model,
                                              *answer.m_version);
    }
}

/// The present attempt is no load of its upstream any more.
void relay_session::leave_upstream(attempt_end how)
{
    if (!m_at_upstream)
    {
        return;
    }
    m_at_upstream = false;
    m_overdue_timer.cancel();
    m_call.reset();
    upstream& at = *m_current.m_upstream;
    at.m_load.on_ended(m_current.m_work, m_first_byte);
    const core::time_point now = core::runtime_clock::now();
    const bool completed = how == attempt_end::completed;
    if (how == attempt_end::lost)
    {
        m_state.m_crash_attribution.on_attempt_lost(m_request.m_fingerprint, at.m_record.m_id, now);
    }
    else
    {
        m_state.m_crash_attribution.on_finished(m_request.m_fingerprint, at.m_record.m_id,
                                                completed, now);
    }
    if (!completed)
    {
        return;
    }
    ++at.m_served_untold;
    constexpr double newest_weight = 0.1;
    const core::duration held = now - m_sent;
    at.m_hold_mean += core::scaled(held - at.m_hold_mean, newest_weight);
}

bool relay_session::is_resumable_stream() const
{
    return m_route->m_kind == request_kind::stream && m_route->m_resumable;
}

bool relay_session::may_repeat() const
{
    return m_route->m_kind == request_kind::idempotent || is_resumable_stream();
}

core::duration relay_session::left() const
{
    return std::max<core::duration>(m_deadline - core::runtime_clock::now(),
                                    std::chrono::milliseconds(1));
}

void relay_session::arm(net::timer& timer, core::time_point at, void (relay_session::*handler)())
{
    net::run_at(timer, at, [weak = weak_from_this(), handler] {
        const auto self = weak.lock();
        if (self && !self->m_ended)
        {
            (self.get()->*handler)();
        }
    });
}

void relay_session::refuse(refusal_reason reason, std::optional<core::duration> retry_after)
{
    if (m_units > 0 && guarantees_not_executed(reason))
    {
        m_state.m_limits.refund(core::id_of<core::workspace_id>(m_workspace->m_name), m_units);
    }
    const refusal refused{reason, retry_after, m_request.m_id};
    net::http_response answer = m_state.m_codec.encode(refused);
    const unsigned status = answer.result_int();
    m_exchange->respond(std::move(answer));
    end(status, to_string(reason));
}

/// The rest of the answer is lost: the caller must see that it is not whole.
void relay_session::give_up_stream(const char* cause)
{
    m_exchange->on_client_gone(nullptr);
    m_exchange->abort();
    end(0, cause);
}

void relay_session::end(unsigned status, const char* outcome)
{
    if (m_ended)
    {
        return;
    }
    m_ended = true;
    m_deadline_timer.cancel();
    m_overdue_timer.cancel();
    m_retry_timer.cancel();
    const core::time_point now = core::runtime_clock::now();
    observe::log("ended",
                 {{"request", m_request.m_id},
                  {"status", status},
                  {"outcome", outcome},
                  {"route", m_route != nullptr ? m_route->m_name : std::string("none")},
                  {"workspace", m_workspace != nullptr ? m_workspace->m_name : std::string("none")},
                  {"upstream", m_current.m_upstream ? m_current.m_upstream->m_record.m_name
                                                    : std::string("none")},
                  {"attempts", m_attempt},
                  {"first_byte_ms", rounded_milliseconds(m_first_byte_time)},
                  {"events", m_events},
                  {"pause_ms", rounded_milliseconds(m_longest_pause)},
                  {"total_ms", rounded_milliseconds(now - m_arrived)},
                  {"bytes", m_bytes}});
    m_state.m_metrics.count_request(outcome);
    m_exchange->on_client_gone(nullptr);
    m_state.m_sessions.erase(shared_from_this());
}

} // namespace tarragontrail::relay
