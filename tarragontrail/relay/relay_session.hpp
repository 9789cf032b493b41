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
    enum class answer_mode
    {
        none,      ///< No head yet.
        discarded, ///< The upstream did not run the request.
        buffered,  ///< A short answer, passed on when it is whole.
        events,    ///< A stream of events, passed on one by one.
        piped,     ///< A long answer, passed on as it arrives.
    };

    /// How an attempt at an upstream ended.
    enum class attempt_end
    {
        completed, ///< With a whole answer.
        cut,       ///< Given up here, rejected there, or never connected.
        lost,      ///< The connection broke: the upstream may have crashed.
    };

    bool authorise();
    bool take_limit();
    void shape_prompt();
    void dispatch();
    bool waits_for_blame(core::time_point now);
    selection_request question() const;
    bool admit(const selection& chosen);
    void send(const selection& chosen);
    upstream_request_metadata describe(const selection& chosen) const;
    std::uint64_t cache_wall() const;
    void note_parts(const selection& chosen);

    void on_head(std::uint64_t attempt, const net::http_response& head);
    void on_body(std::uint64_t attempt, std::string_view piece);
    void on_complete(std::uint64_t attempt);
    void on_failed(std::uint64_t attempt, const net::call_failure& failure);
    void on_rejected();
    void on_lost(const char* cause);
    void on_overdue();
    void on_deadline();
    void on_client_gone();

    void note_first_byte();
    void note_version(const response_metadata& answer);
    void forward_events();
    void leave_upstream(attempt_end how);
    bool may_repeat() const;
    bool repeat_after_error();
    std::optional<core::duration> ask_retry(core::execution execution, std::uint64_t attempts);
    void retry_or_end(core::execution execution, refusal_reason reason);
    void arm(net::timer& timer, core::time_point at, void (relay_session::*handler)());
    void refuse(refusal_reason reason, std::optional<core::duration> retry_after = std::nullopt);
    void end_unserved(refusal_reason reason, std::optional<core::duration> retry_after);
    void give_up_stream(const char* cause);
    void end(unsigned status, const char* outcome);
    core::duration left() const;
    bool is_resumable_stream() const;

    relay_state& m_state;                           ///< Shared.
    std::shared_ptr<net::http_exchange> m_exchange; ///< Caller.
    caller_request m_request;                       ///< Request.
    std::shared_ptr<const route_table> m_routes;    ///< Configuration that judges it.
    const route* m_route = nullptr;                 ///< Route.
    const workspace* m_workspace = nullptr;         ///< Workspace; null on a public route.
    std::string m_service;                          ///< Service that it goes to.
    std::optional<prompt_shape> m_prompt;           ///< Set for a request to a model.
    core::time_point m_arrived;                     ///< Arrival.
    core::time_point m_deadline;                    ///< Last answer.
    std::uint64_t m_priority = 0;                   ///< Urgency.
    double m_units = 0;                             ///< Taken from the workspace's limit.

    selection m_current;                       ///< Upstream in use.
    std::shared_ptr<net::http_call> m_call;    ///< Call under way.
    std::uint64_t m_attempt = 0;               ///< Number of the present attempt.
    std::uint64_t m_connect_failures = 0;      ///< Upstreams that could not be reached.
    std::uint64_t m_sends = 0;                 ///< Upstreams that were sent the request.
    std::uint64_t m_maybe_run = 0;             ///< Of these, that may have run it.
    std::vector<core::upstream_id> m_tried;    ///< Upstreams of earlier attempts.
    core::time_point m_sent{};                 ///< Start of the present attempt.
    bool m_at_upstream = false;                ///< The present attempt counts as load.
    bool m_first_byte = false;                 ///< The present attempt has answered.
    answer_mode m_mode = answer_mode::none;    ///< Of the present attempt.
    net::http_response m_head;                 ///< Of the present attempt.
    std::string m_body;                        ///< Buffered body.
    event_framer m_framer;                     ///< Events of the present attempt.
    bool m_answering = false;                  ///< Bytes of an answer have gone out.
    std::optional<std::uint64_t> m_last_event; ///< Last event passed on.
    core::duration m_first_byte_time{};        ///< From arrival to the first byte passed on.
    core::time_point m_last_piece{};           ///< Last event passed on.
    core::duration m_longest_pause{};          ///< Between two events.
    std::uint64_t m_events = 0;                ///< Events passed on.
    std::uint64_t m_bytes = 0;                 ///< Bytes passed on.
    net::timer m_deadline_timer;               ///< Last answer.
    net::timer m_overdue_timer;                ///< Silence of the upstream.
    net::timer m_retry_timer;                  ///< Pause before the next attempt.
    bool m_ended = false;                      ///< Nothing more happens.
};

} // namespace tarragontrail::relay
