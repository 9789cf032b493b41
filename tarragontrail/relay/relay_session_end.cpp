#include "tarragontrail/relay/relay_session.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Whether a failed call may be the end of the upstream's process.
bool shows_end_of_process(const net::call_failure& failure)
{
    switch (failure.m_fault)
    {
    case net::call_fault::refused:
    case net::call_fault::closed:
    case net::call_fault::reset:
        return true;
    case net::call_fault::timed_out:
        return failure.m_stage == net::call_stage::connecting;
    default:
        return false;
    }
}

} // namespace

/// Retries a repeatable request after an error response, if the retry budget allows it.
bool relay_session::retry_after_error()
{
    if (m_possible_executions + 1 >= m_route->m_max_attempts)
    {
        return false;
    }
    const auto delay = request_retry(core::execution::run, m_sends + 1);
    if (!delay)
    {
        return false;
    }
    note_possible_execution();
    const core::time_point now = core::runtime_clock::now();
    m_selection.m_upstream->m_health.on_failure(now);
    ++m_selection.m_upstream->m_unreported_failures;
    release_upstream(attempt_outcome::abandoned);
    observe::log("repeated", {{"request", m_request.m_id}, {"status", m_head.result_int()}});
    start_timer(m_retry_timer, now + *delay, &relay_session::dispatch);
    return true;
}

void relay_session::on_failed(std::uint64_t attempt, const net::call_failure& failure)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    if (m_is_passing)
    {
        on_passed_failed(failure);
        return;
    }
    if (!m_first_byte_received)
    {
        note_unreached_upstream();
    }
    if (shows_end_of_process(failure))
    {
        // What listens there next may be another start, of another version.
        m_selection.m_upstream->doubt(core::runtime_clock::now());
    }
    if (failure.m_stage != net::call_stage::connecting)
    {
        if (shows_end_of_process(failure))
        {
            m_state.m_part_crashes.check_engine(m_selection.m_upstream->m_record);
        }
        on_connection_lost(net::to_string(failure.m_fault));
        return;
    }
    // Nothing was sent, so any request may be retried on another upstream.
    m_is_outcome_open = false;
    const core::time_point now = core::runtime_clock::now();
    m_selection.m_upstream->m_health.on_unreachable(now);
    if (failure.m_fault == net::call_fault::refused)
    {
        const upstream_record& current = m_selection.m_upstream->m_record;
        m_state.m_crash_attribution.on_connection_refused(current.m_id, current.m_started, now);
    }
    ++m_selection.m_upstream->m_unreported_failures;
    release_upstream(attempt_outcome::abandoned);
    observe::log("unreachable", {{"request", m_request.m_id},
                                 {"upstream", m_selection.m_upstream->m_record.m_name},
                                 {"cause", net::to_string(failure.m_fault)}});
    const bool is_cut_off = m_state.m_reach.is_cut_off(m_service);
    const relay_session_settings& settings = m_state.m_session_settings;
    const bool has_failed_often = ++m_connect_failures >= settings.m_connect_failures_to_pass;
    if ((is_cut_off || has_failed_often) && pass_on())
    {
        return;
    }
    // Where no instance reaches the service, no further upstream is tried.
    if (is_cut_off || m_connect_failures >= settings.m_max_connect_attempts)
    {
        end_without_upstream(refusal_reason::no_upstream,
                             m_state.m_session_settings.m_no_upstream_retry_after);
        return;
    }
    dispatch();
}

/// The upstream of the current attempt has not responded to this instance.
void relay_session::note_unreached_upstream()
{
    const auto& upstreams = m_state.m_upstreams.of_service(m_service);
    const auto count = std::count_if(upstreams.begin(), upstreams.end(),
                                     [](const auto& each) { return !each->m_leaving_since; });
    m_state.m_reach.on_failure(m_service, m_selection.m_upstream->m_record.m_id,
                               static_cast<std::size_t>(std::max<std::ptrdiff_t>(count, 1)));
}

/// The upstream reported that it did not execute the request.
void relay_session::on_not_executed()
{
    m_is_outcome_open = false;
    const core::time_point now = core::runtime_clock::now();
    upstream& current = *m_selection.m_upstream;
    ++m_sends;
    release_upstream(attempt_outcome::abandoned);
    // One that asks to wait, or leaves, is sound.
    if (now >= current.m_loading_weights_until && !current.m_leaving_since &&
        !current.m_terms.is_waiting(now))
    {
        current.m_health.on_failure(now);
        ++current.m_unreported_failures;
    }
    observe::log(
        "rejected",
        {{"request", m_request.m_id}, {"upstream", current.m_record.m_name}, {"sends", m_sends}});
    retry_or_end(core::execution::not_run, refusal_reason::overloaded);
}

/// The upstream refused the request and does not say that it has not executed it. Its status would
/// be a promise to the caller.
void relay_session::on_unproven_refusal(unsigned status)
{
    upstream& current = *m_selection.m_upstream;
    record_response_end("unproven_refusal");
    note_possible_execution();
    current.m_health.on_failure(core::runtime_clock::now());
    ++current.m_unreported_failures;
    release_upstream(attempt_outcome::abandoned);
    observe::log("unproven_refusal", {{"request", m_request.m_id},
                                      {"upstream", current.m_record.m_name},
                                      {"status", status},
                                      {"sends", m_sends}});
    retry_or_end(core::execution::unknown, refusal_reason::outcome_unknown);
}

/// The request was sent and its response is lost, so it may have been executed.
void relay_session::on_connection_lost(const char* cause)
{
    upstream& current = *m_selection.m_upstream;
    record_response_end(cause);
    note_possible_execution();
    current.m_health.on_failure(core::runtime_clock::now());
    ++current.m_unreported_failures;
    release_upstream(attempt_outcome::lost);
    observe::log("lost", {{"request", m_request.m_id},
                          {"upstream", current.m_record.m_name},
                          {"cause", cause},
                          {"framing", framing_name()},
                          {"answering", m_response_started}});
    retry_unless_begun(cause);
}

/// The upstream closed the connection, and nothing proves that the response was whole then.
void relay_session::on_end_unproven()
{
    record_response_end("unproven");
    note_possible_execution();
    release_upstream(attempt_outcome::abandoned);
    observe::log("end_unproven", {{"request", m_request.m_id},
                                  {"upstream", m_selection.m_upstream->m_record.m_name},
                                  {"framing", framing_name()},
                                  {"events", m_events_sent}});
    retry_unless_begun("end_unproven");
}

/// Retries a request whose response is lost; one that has reached the caller in part goes on only
/// as a stream that may be resumed.
void relay_session::retry_unless_begun(const char* cause)
{
    const bool may_go_on =
        m_mode == response_mode::events && is_resumable_stream() && m_is_position_known;
    if (m_response_started && !may_go_on)
    {
        abort_stream(cause);
        return;
    }
    retry_or_end(core::execution::unknown, refusal_reason::outcome_unknown);
}

void relay_session::retry_or_end(core::execution execution, refusal_reason reason)
{
    const bool executions_left = m_possible_executions < m_route->m_max_attempts;
    const bool sends_left = m_sends < m_state.m_session_settings.m_max_sends;
    if (executions_left && sends_left)
    {
        if (const auto delay = request_retry(execution, m_sends))
        {
            start_timer(m_retry_timer, core::runtime_clock::now() + *delay,
                        &relay_session::dispatch);
            return;
        }
    }

    end_without_upstream(reason, m_state.m_admission.retry_after(m_selection.m_predicted_queue_time,
                                                                 remaining_time()));
}

/// Ends the request without another attempt: aborts a response that has begun, otherwise refuses
/// with the reason that is certain.
void relay_session::end_without_upstream(refusal_reason reason,
                                         std::optional<core::duration> retry_after)
{
    if (m_response_started)
    {
        abort_stream("no_retry");
        return;
    }
    if (may_have_run())
    {
        refuse(refusal_reason::outcome_unknown);
        return;
    }
    refuse(reason, retry_after);
}

/// Requests a retry from the fleet's budget; returns the delay before it, or nothing when refused.
std::optional<core::duration> relay_session::request_retry(core::execution execution,
                                                           std::uint64_t attempts)
{
    const recovery::failed_attempt failed{attempts, is_repeatable(), execution, m_deadline,
                                          m_selection.m_predicted_first_byte};
    const auto decision = m_state.budget_of(m_service).decide(failed, core::runtime_clock::now());
    const auto* granted = std::get_if<recovery::retry>(&decision);
    if (granted == nullptr)
    {
        return std::nullopt;
    }
    m_state.m_metrics.count_retry(core::to_string(execution));
    return granted->m_after;
}

void relay_session::on_overdue()
{
    if (m_ended || m_first_byte_received || !m_counted_as_load)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    observe::log("overdue",
                 {{"request", m_request.m_id},
                  {"upstream", m_selection.m_upstream->m_record.m_name},
                  {"waited_ms", rounded_milliseconds(now - m_attempt_started)},
                  {"forecast_ms", rounded_milliseconds(m_selection.m_predicted_first_byte)}});
    note_unreached_upstream();
    m_selection.m_upstream->m_health.on_failure(now);
    ++m_selection.m_upstream->m_unreported_failures;
    const bool executions_left = m_possible_executions + 1 < m_route->m_max_attempts;
    if (!is_repeatable() || !executions_left || m_response_started)
    {
        return;
    }
    // A silent upstream may still answer, so it is left only for another one.
    if (!m_state.m_selector.choose(m_state.m_upstreams, m_state.m_cached_parts,
                                   make_selection_request(), now))
    {
        return;
    }
    const auto delay = request_retry(core::execution::unknown, m_sends + 1);
    if (!delay)
    {
        return;
    }
    m_call->cancel();
    note_possible_execution();
    release_upstream(attempt_outcome::abandoned);
    start_timer(m_retry_timer, now + *delay, &relay_session::dispatch);
}

void relay_session::on_deadline()
{
    if (m_ended)
    {
        return;
    }
    end_with_what_is_certain("deadline", refusal_reason::timed_out);
}

void relay_session::give_up()
{
    run_guarded("give_up", [this] { on_deadline(); });
}

/// Ends the request now: aborts a response that has begun, otherwise refuses; `sent` is the reason
/// when the request may have run.
void relay_session::end_with_what_is_certain(const char* stream_cause, refusal_reason sent)
{
    if (m_call)
    {
        m_call->cancel();
    }
    release_upstream(attempt_outcome::abandoned);
    if (m_response_started)
    {
        abort_stream(stream_cause);
        return;
    }
    refuse(may_have_run() ? sent : refusal_reason::not_run_in_time);
}

/// A step of the session has failed, and may have done anything up to its half.
void relay_session::end_after_failure()
{
    // What fails once, such as the release of the upstream, is not done again.
    constexpr int tries = 2;
    for (int i = 0; i < tries && !m_ended; ++i)
    {
        try
        {
            end_with_what_is_certain("failed", refusal_reason::outcome_unknown);
        }
        catch (const std::exception& failure)
        {
            observe::log("session_end_failed",
                         {{"request", m_request.m_id}, {"reason", failure.what()}});
        }
    }
    // Without an answer of the session the server answers for it.
    m_ended = true;
    m_deadline_timer.cancel();
    m_overdue_timer.cancel();
    m_retry_timer.cancel();
    m_call.reset();
    m_state.m_sessions.erase(shared_from_this());
}

/// The current attempt was sent, and its outcome will not be learned.
void relay_session::note_possible_execution() noexcept
{
    ++m_sends;
    ++m_possible_executions;
    m_is_outcome_open = false;
}

void relay_session::on_client_gone(net::close_cause cause)
{
    if (m_ended)
    {
        return;
    }
    if (m_call)
    {
        m_call->cancel();
    }
    release_upstream(attempt_outcome::abandoned);
    end(0, cause == net::close_cause::client_closed ? "client_gone" : net::to_string(cause));
}

void relay_session::on_first_byte()
{
    if (m_first_byte_received)
    {
        return;
    }
    m_first_byte_received = true;
    m_overdue_timer.cancel();
    m_selection.m_upstream->m_load.on_first_byte(m_selection.m_work);
    const core::time_point now = core::runtime_clock::now();
    constexpr unsigned status_ok = 200;
    if (m_part_attempt && m_head.result_int() == status_ok)
    {
        m_state.m_part_crashes.on_answer_begun(*m_part_attempt, now);
    }
    const double forecast = std::max(milliseconds_of(m_selection.m_predicted_first_byte), 1.0);
    m_selection.m_upstream->m_health.on_success(milliseconds_of(now - m_attempt_started) / forecast,
                                                now);
}

void relay_session::record_weights_version(const response_metadata& metadata)
{
    if (!metadata.m_version || !m_prompt)
    {
        return;
    }
    upstream& current = *m_selection.m_upstream;
    if (current.version_of(m_prompt->m_model) == metadata.m_version)
    {
        return;
    }
    current.set_version(m_prompt->m_model, *metadata.m_version);
    m_state.m_cached_parts.clear_holder(current.m_record.m_id);
    if (m_state.m_announcer != nullptr)
    {
        m_state.m_announcer->announce_weights(current.m_record.m_id, m_prompt->m_model,
                                              *metadata.m_version);
    }
}

/// Removes the current attempt from its upstream's load and records how it ended.
void relay_session::release_upstream(attempt_outcome outcome)
{
    if (!m_counted_as_load)
    {
        return;
    }
    m_counted_as_load = false;
    m_overdue_timer.cancel();
    m_call.reset();
    upstream& current = *m_selection.m_upstream;
    current.m_load.on_ended(m_selection.m_work, m_first_byte_received);
    const core::time_point now = core::runtime_clock::now();
    const bool completed = outcome == attempt_outcome::completed;
    const auto part_attempt = std::exchange(m_part_attempt, std::nullopt);
    if (part_attempt && outcome == attempt_outcome::lost)
    {
        m_state.m_part_crashes.on_attempt_lost(*part_attempt, current.m_record, now);
    }
    else if (part_attempt)
    {
        m_state.m_part_crashes.on_ended(*part_attempt, now);
    }
    if (outcome == attempt_outcome::lost)
    {
        m_state.m_crash_attribution.on_attempt_lost(m_request.m_fingerprint, current.m_record.m_id,
                                                    now);
    }
    else
    {
        m_state.m_crash_attribution.on_finished(m_request.m_fingerprint, current.m_record.m_id,
                                                completed, now);
    }
    if (!completed)
    {
        return;
    }
    ++current.m_unreported_successes;
    constexpr double newest_weight = 0.1;
    const core::duration duration = now - m_attempt_started;
    current.m_mean_request_time +=
        core::scaled(duration - current.m_mean_request_time, newest_weight);
}

void relay_session::record_response_end(const char* cause)
{
    m_response_end = cause;
    m_state.m_metrics.count_upstream_response(framing_name(), cause);
}

const char* relay_session::framing_name() const noexcept
{
    return m_framing ? net::to_string(*m_framing) : "none";
}

bool relay_session::is_resumable_stream() const
{
    return m_route->m_kind == request_kind::stream && m_route->m_resumable;
}

bool relay_session::is_repeatable() const
{
    return m_route->m_kind == request_kind::idempotent || is_resumable_stream();
}

core::duration relay_session::remaining_time() const
{
    return std::max<core::duration>(m_deadline - core::runtime_clock::now(),
                                    std::chrono::milliseconds(1));
}

void relay_session::start_timer(net::timer& timer, core::time_point when,
                                void (relay_session::*handler)())
{
    timer.run_at(when, [weak = weak_from_this(), handler] {
        const auto self = weak.lock();
        if (self && !self->m_ended)
        {
            self->run_guarded("timer", [&self, handler] { (self.get()->*handler)(); });
        }
    });
}

void relay_session::refuse(refusal_reason reason, std::optional<core::duration> retry_after)
{
    if (m_charged_units > 0 && guarantees_not_executed(reason))
    {
        m_state.m_limits.refund(core::id_of<core::workspace_id>(m_workspace->m_name),
                                m_charged_units);
    }
    const refusal refused{reason, retry_after, m_request.m_id, m_request.m_passed_on};
    net::http_response response = m_state.m_codec.encode(refused);
    const unsigned status = response.result_int();
    m_exchange->respond(std::move(response));
    end(status, to_string(reason));
}

/// Aborts the connection without a regular end, so that the caller sees that the response is
/// incomplete.
void relay_session::abort_stream(const char* cause)
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
                  {"upstream", m_selection.m_upstream ? m_selection.m_upstream->m_record.m_name
                                                      : std::string("none")},
                  {"attempts", m_attempt},
                  {"framing", framing_name()},
                  {"response_end", m_response_end},
                  {"first_byte_ms", rounded_milliseconds(m_time_to_first_byte)},
                  {"events", m_events_sent},
                  {"pause_ms", rounded_milliseconds(m_max_event_gap)},
                  {"total_ms", rounded_milliseconds(now - m_arrival)},
                  {"bytes", m_bytes_sent}});
    m_state.m_metrics.count_request(outcome);
    m_exchange->on_client_gone(nullptr);
    m_state.m_sessions.erase(shared_from_this());
}

} // namespace tarragontrail::relay
