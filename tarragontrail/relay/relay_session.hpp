#pragma once

#include "tarragontrail/net/connection_probe.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/event_framer.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <memory>
#include <optional>

namespace tarragontrail::relay {

/// Handles one caller's request from arrival until the last byte of the response.
///
/// The decisions are made by the selector, the admission policy and the retry budget; this class
/// does the I/O. A request goes to another upstream only when the previous one did not execute it,
/// or when it may run again and the fleet's retry budget allows it.
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(relay_state& state, std::shared_ptr<net::http_exchange> exchange,
                  caller_request request);
    ~relay_session();
    relay_session(const relay_session&) = delete;
    relay_session& operator=(const relay_session&) = delete;

    /// Starts processing; relay_state owns the session until it has ended.
    void start();

    /// Ends the request with the response that is certain now, as at its deadline.
    void give_up();

private:
    class attempt_listener;

    /// How the response of the current attempt is handled.
    enum class response_mode
    {
        none,     ///< No response head yet, or one of a request that was not executed.
        buffered, ///< Short response, forwarded when complete.
        events,   ///< Event stream, forwarded event by event.
        piped,    ///< Long response, forwarded as it arrives.
    };

    /// Whether the plans of software versions were read for this request.
    enum class plan_read
    {
        none,    ///< Not asked for.
        pending, ///< Asked for.
        done,    ///< What the table store held after the request's arrival is known.
        failed,  ///< The table store has not answered in time.
    };

    /// How an attempt at an upstream ended.
    enum class attempt_outcome
    {
        completed, ///< A complete response arrived.
        abandoned, ///< Cancelled here, rejected by the upstream, or never connected.
        lost,      ///< The connection broke; the upstream may have crashed.
    };

    /// Runs a step of the session; one that fails ends the request with what is certain of it.
    template <class Step>
    void run_guarded(const char* entry, Step step);
    void end_after_failure();
    void end_with_what_is_certain(const char* stream_cause, refusal_reason sent);
    bool may_have_run() const noexcept { return m_is_outcome_open || m_possible_executions > 0; }
    void note_possible_execution() noexcept;

    bool authorize();
    void deny(refusal_reason reason);
    bool charge_rate_limit();
    void build_prompt_profile();
    void identify_stream();
    void dispatch();
    std::optional<selection> choose_upstream(core::time_point now);
    bool is_software_chosen(core::time_point now);
    bool choose_software_of_taken_up(core::time_point now);
    void ask_for_plans();
    bool is_waiting_for_plans(core::time_point now);
    core::duration max_stream_age(core::time_point now) const;
    void note_begun_stream(core::time_point now);
    bool is_held_as_suspect(core::time_point now);
    bool is_held_for_parts(core::upstream_id engine, core::time_point now);
    selection_request make_selection_request() const;
    bool admit(const selection& chosen);
    std::uint64_t begin_attempt();
    void send(const selection& chosen);
    bool pass_on();
    passed_request_metadata make_passed_metadata() const;
    void on_passed_head(const net::http_response& head, net::body_framing framing);
    void leave_peer();
    void on_passed_complete();
    void on_passed_failed(const net::call_failure& failure);
    void note_unreached_upstream();
    upstream_request_metadata make_request_metadata(const selection& chosen) const;
    std::uint64_t cache_isolation_id() const;
    void record_cached_parts(const selection& chosen);

    void on_head(std::uint64_t attempt, const net::http_response& head, net::body_framing framing);
    void on_body(std::uint64_t attempt, std::string_view chunk);
    void on_complete(std::uint64_t attempt);
    void on_failed(std::uint64_t attempt, const net::call_failure& failure);
    void on_upstream_replaced(const upstream& departed);
    void note_unproven_response(const response_metadata& response);
    bool is_proven_refusal(const response_metadata& response) const;
    void on_not_executed();
    void on_unproven_refusal(unsigned status);
    void on_connection_lost(const char* cause);
    void on_end_unproven();
    void retry_unless_begun(const char* cause);
    void confirm_upstream_is_there();
    void on_end_checked(process_presence presence);
    void probe_end(bool listening_suffices);
    void on_end_probed(net::probe_result result, bool listening_suffices);
    void finish_response();
    void on_overdue();
    void on_deadline();
    void on_client_gone(net::close_cause cause);

    void begin_response();
    void on_first_byte();
    void record_weights_version(const response_metadata& metadata);
    void forward_events();
    void note_start_seen();
    bool is_start_proven() const;
    void prove_start();
    void on_start_checked(process_presence presence, core::time_point asked_at);
    upstream_record asked_record() const;
    void note_position(std::string_view event, const std::optional<std::uint64_t>& id);
    void release_upstream(attempt_outcome outcome);
    void record_response_end(const char* cause);
    const char* framing_name() const noexcept;
    bool is_repeatable() const;
    bool retry_after_error();
    std::optional<core::duration> request_retry(core::execution execution, std::uint64_t attempts);
    void retry_or_end(core::execution execution, refusal_reason reason);
    void start_timer(net::timer& timer, core::time_point when, void (relay_session::*handler)());
    void refuse(refusal_reason reason, std::optional<core::duration> retry_after = std::nullopt);
    void end_without_upstream(refusal_reason reason, std::optional<core::duration> retry_after);
    void abort_stream(const char* cause);
    void end(unsigned status, const char* outcome);
    core::duration remaining_time() const;
    bool is_resumable_stream() const;

    relay_state& m_state;                           ///< Shared by all sessions.
    std::shared_ptr<net::http_exchange> m_exchange; ///< Connection to the caller.
    caller_request m_request;
    std::shared_ptr<const route_table> m_routes; ///< Configuration in force at arrival.
    const route* m_route = nullptr;
    const workspace* m_workspace = nullptr; ///< Null when the request has no known key.
    std::string m_service;                  ///< Name of the target service.
    std::optional<stream_id> m_stream;      ///< Set for a stream that may be resumed.
    /// Software that the stream's events come from; every attempt goes to an upstream that runs it.
    std::optional<software_version> m_software;
    plan_read m_plan_read = plan_read::none;
    core::time_point m_plans_asked_at{};          ///< When the plans were asked for.
    bool m_awaits_plans = false;                  ///< Nothing is done until they were read.
    std::optional<prompt_profile> m_prompt;       ///< Set for a request to a model.
    std::vector<std::uint64_t> m_part_ids;        ///< Model and identity of each part but the last.
    std::optional<core::time_point> m_held_since; ///< Start of the hold for a suspected part.
    core::time_point m_arrival;
    core::duration m_unread_time; ///< Longest time for which the request may have waited before.
    core::time_point m_deadline;  ///< Latest time at which a response is sent.
    std::uint64_t m_priority = 0; ///< Zero is the most urgent.
    double m_charged_units = 0;   ///< Units charged to the workspace's limit.

    std::vector<core::instance_id> m_passed_to; ///< Instances that the request was passed on to.
    bool m_is_passing = false;                  ///< The current attempt is at one of them.
    selection m_selection; ///< Upstream of the current attempt, or of the one before.
    std::shared_ptr<net::http_call> m_call;
    std::uint64_t m_attempt = 0;            ///< Number of the current attempt.
    core::incarnation m_asked_start{};      ///< Start of its upstream as the record told it.
    std::uint64_t m_connect_failures = 0;   ///< Attempts whose connection could not be made.
    std::uint64_t m_sends = 0;              ///< Attempts that sent the request.
    core::time_point m_connection_opened{}; ///< That of the current attempt.
    bool m_is_start_proven = false;    ///< The response comes from the start that was asked for.
    bool m_is_start_asked = false;     ///< The upstream is being asked for it.
    bool m_ended_before_proof = false; ///< The response was whole before the start was proven.
    std::uint64_t m_start_checks = 0;  ///< Questions for the start of the current attempt.
    std::uint64_t m_end_checks = 0;    ///< Questions about the end of the current attempt's answer.
    std::uint64_t m_possible_executions = 0; ///< Sent attempts that may have executed the request.
    std::vector<core::upstream_id> m_tried;  ///< Upstreams of all attempts so far.
    core::time_point m_attempt_started{};    ///< Start of the current attempt.
    std::optional<recovery::attempt_id> m_part_attempt; ///< Current attempt, if it has parts.
    bool m_is_outcome_open = false;     ///< The current attempt was sent and may have run.
    bool m_counted_as_load = false;     ///< The current attempt counts towards the upstream's load.
    bool m_first_byte_received = false; ///< The current attempt's first byte has arrived.
    response_mode m_mode = response_mode::none; ///< Of the current attempt.
    net::http_response m_head;                  ///< Response head of the current attempt.
    std::optional<net::body_framing> m_framing; ///< Of the last response that began.
    const char* m_response_end = "none";        ///< What ended the last response, for logs.
    std::string m_body;                         ///< Body bytes in buffered mode.
    event_framer m_framer;                      ///< Splits the current attempt's event stream.
    bool m_response_started = false;            ///< Part of a response has been sent to the caller.
    bool m_ends_with_close = false; ///< The response to the caller ends with its connection.
    std::optional<std::uint64_t> m_last_event_id; ///< Highest id of the events that the caller has.
    bool m_is_position_known = true;              ///< All that was forwarded lies up to that event.
    /// Event behind which the current attempt goes on; empty when it begins with the first one.
    std::optional<std::uint64_t> m_resumed_after;
    core::duration m_time_to_first_byte{}; ///< From arrival until the first byte is forwarded.
    core::time_point m_last_event_time{};  ///< When the last event was forwarded.
    core::duration m_max_event_gap{};      ///< Longest time between two forwarded events.
    std::uint64_t m_events_sent = 0;       ///< Events forwarded.
    std::uint64_t m_bytes_sent = 0;        ///< Body bytes forwarded.
    net::timer m_deadline_timer;
    net::timer m_overdue_timer; ///< Fires when the upstream's first byte is overdue.
    net::timer m_retry_timer;   ///< Delay before the next attempt.
    bool m_ended = false;
};

template <class Step>
void relay_session::run_guarded(const char* entry, Step step)
{
    const auto self = shared_from_this();
    try
    {
        step();
    }
    catch (const std::exception& failure)
    {
        observe::log("session_failed",
                     {{"request", m_request.m_id}, {"entry", entry}, {"reason", failure.what()}});
        end_after_failure();
    }
}

} // namespace tarragontrail::relay
