#pragma once

#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/relay/event_framer.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <memory>
#include <optional>

namespace tarragontrail::relay {

/// One caller's request from its arrival to the last byte of its answer.
///
/// Decisions are the cores'; this class carries them out. A request goes to another upstream only
/// when the last one did not run it, or when it may run again and the fleet's retry budget allows.
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(relay_state& state, std::shared_ptr<net::http_exchange> exchange,
                  caller_request request);
    ~relay_session();
    relay_session(const relay_session&) = delete;
    relay_session& operator=(const relay_session&) = delete;

    /// Begins; the session is in relay_state's set until it has ended.
    void start();

private:
    class attempt_listener;

    /// What the answer under way is.
    enum class response_mode
    {
        none,      ///< No head yet.
        discarded, ///< The upstream did not run the request.
        buffered,  ///< A short answer, passed on when it is whole.
        events,    ///< A stream of events, passed on one by one.
        piped,     ///< A long answer, passed on as it arrives.
    };

    /// How an attempt at an upstream ended.
    enum class attempt_outcome
    {
        completed, ///< With a whole answer.
        abandoned, ///< Given up here, rejected there, or never connected.
        lost,      ///< The connection broke: the upstream may have crashed.
    };

    bool authorize();
    bool charge_rate_limit();
    void build_prompt_profile();
    void dispatch();
    bool is_held_as_suspect(core::time_point now);
    selection_request make_selection_request() const;
    bool admit(const selection& chosen);
    void send(const selection& chosen);
    upstream_request_metadata make_request_metadata(const selection& chosen) const;
    std::uint64_t cache_isolation_id() const;
    void record_cached_parts(const selection& chosen);

    void on_head(std::uint64_t attempt, const net::http_response& head);
    void on_body(std::uint64_t attempt, std::string_view chunk);
    void on_complete(std::uint64_t attempt);
    void on_failed(std::uint64_t attempt, const net::call_failure& failure);
    void on_not_executed();
    void on_connection_lost(const char* cause);
    void on_overdue();
    void on_deadline();
    void on_client_gone();

    void on_first_byte();
    void record_weights_version(const response_metadata& metadata);
    void forward_events();
    void release_upstream(attempt_outcome outcome);
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

    relay_state& m_state;                           ///< Shared.
    std::shared_ptr<net::http_exchange> m_exchange; ///< Caller.
    caller_request m_request;                       ///< Request.
    std::shared_ptr<const route_table> m_routes;    ///< Configuration that judges it.
    const route* m_route = nullptr;                 ///< Route.
    const workspace* m_workspace = nullptr;         ///< Workspace; null on a public route.
    std::string m_service;                          ///< Service that it goes to.
    std::optional<prompt_profile> m_prompt;         ///< Set for a request to a model.
    core::time_point m_arrival;                     ///< Arrival.
    core::time_point m_deadline;                    ///< Last answer.
    std::uint64_t m_priority = 0;                   ///< Urgency.
    double m_charged_units = 0;                     ///< Taken from the workspace's limit.

    selection m_selection;                        ///< Upstream in use.
    std::shared_ptr<net::http_call> m_call;       ///< Call under way.
    std::uint64_t m_attempt = 0;                  ///< Number of the present attempt.
    std::uint64_t m_connect_failures = 0;         ///< Upstreams that could not be reached.
    std::uint64_t m_sends = 0;                    ///< Upstreams that were sent the request.
    std::uint64_t m_possible_executions = 0;      ///< Of these, that may have run it.
    std::vector<core::upstream_id> m_tried;       ///< Upstreams of earlier attempts.
    core::time_point m_attempt_started{};         ///< Start of the present attempt.
    bool m_counted_as_load = false;               ///< The present attempt counts as load.
    bool m_first_byte_received = false;           ///< The present attempt has answered.
    response_mode m_mode = response_mode::none;   ///< Of the present attempt.
    net::http_response m_head;                    ///< Of the present attempt.
    std::string m_body;                           ///< Buffered body.
    event_framer m_framer;                        ///< Events of the present attempt.
    bool m_response_started = false;              ///< Bytes of an answer have gone out.
    std::optional<std::uint64_t> m_last_event_id; ///< Last event passed on.
    core::duration m_time_to_first_byte{};        ///< From arrival to the first byte passed on.
    core::time_point m_last_event_time{};         ///< Last event passed on.
    core::duration m_max_event_gap{};             ///< Between two events.
    std::uint64_t m_events_sent = 0;              ///< Events passed on.
    std::uint64_t m_bytes_sent = 0;               ///< Bytes passed on.
    net::timer m_deadline_timer;                  ///< Last answer.
    net::timer m_overdue_timer;                   ///< Silence of the upstream.
    net::timer m_retry_timer;                     ///< Pause before the next attempt.
    bool m_ended = false;                         ///< Nothing more happens.
};

} // namespace tarragontrail::relay
