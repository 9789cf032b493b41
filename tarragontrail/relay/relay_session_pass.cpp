// Passes a request on to an instance that reaches the upstreams of its service.
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/attempt_listener.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Instances that are asked until one takes a request over.
constexpr std::size_t most_peers = 2;

} // namespace

/// Sends the request to another instance as its caller sent it; that one charges its workspace and
/// chooses an upstream. False when the request cannot be passed on.
bool relay_session::pass_on()
{
    if (m_request.m_passed_on || m_response_started || m_state.m_peers == nullptr ||
        m_passed_to.size() >= most_peers)
    {
        return false;
    }
    const auto peer = m_state.m_peers->peer_reaching(m_service, m_passed_to);
    if (!peer)
    {
        return false;
    }
    m_passed_to.push_back(peer->m_instance);
    if (m_charged_units > 0)
    {
        m_state.m_limits.refund(core::id_of<core::workspace_id>(m_workspace->m_name),
                                m_charged_units);
        m_charged_units = 0;
    }
    if (m_attempt == 0)
    {
        m_state.budget_of(m_service).on_request();
    }
    const std::uint64_t attempt = begin_attempt();
    m_is_passing = true;
    const std::chrono::milliseconds left = whole_milliseconds(remaining_time());
    observe::log("passed_on", {{"request", m_request.m_id},
                               {"attempt", attempt},
                               {"service", m_service},
                               {"peer", core::value_of(peer->m_instance)},
                               {"left_ms", left.count()}});
    m_state.m_metrics.count_decision("passed_on");

    net::call_settings timing;
    timing.m_connect_timeout = std::min(m_state.m_session_settings.m_connect_timeout, left);
    timing.m_first_byte_timeout = left + m_state.m_session_settings.m_connect_timeout;
    timing.m_idle_timeout = timing.m_first_byte_timeout;
    timing.m_body_limit_bytes = m_state.m_session_settings.m_response_limit_bytes;
    timing.m_reuse_limit = m_state.m_session_settings.m_unrepeatable_reuse_limit;
    m_is_outcome_open = true;
    m_call = m_state.m_client.start(
        peer->m_endpoint, m_state.m_codec.encode_for_peer(m_request, make_passed_metadata()),
        timing, std::make_shared<attempt_listener>(shared_from_this(), attempt));
    return true;
}

/// What the other instance cannot see: what was done here, and how long it took.
passed_request_metadata relay_session::make_passed_metadata() const
{
    passed_request_metadata metadata;
    metadata.m_time_left = whole_milliseconds(remaining_time());
    metadata.m_earlier_runs = m_possible_executions;
    metadata.m_earlier_wait = std::chrono::ceil<std::chrono::milliseconds>(
        m_unread_time + (core::runtime_clock::now() - m_arrival));
    metadata.m_longest_wait = m_request.m_deadline;
    const auto seen = m_state.m_longest_deadlines.find(m_route->m_name);
    if (seen != m_state.m_longest_deadlines.end())
    {
        metadata.m_longest_wait =
            std::max(metadata.m_longest_wait.value_or(seen->second), seen->second);
    }
    return metadata;
}

void relay_session::on_passed_head(const net::http_response& head, net::body_framing framing)
{
    m_head = head;
    m_framing = framing;
    // The other instance speaks of its own attempts alone; an older build also passes on statuses
    // of upstreams that prove nothing.
    const bool is_proven = m_possible_executions == 0 && m_state.m_codec.proves_not_executed(head);
    if (is_promise(head.result_int()) && !is_proven)
    {
        m_call->cancel();
        record_response_end("unproven_refusal");
        leave_peer();
        refuse(refusal_reason::outcome_unknown);
        return;
    }
    if (framing == net::body_framing::length)
    {
        m_mode = response_mode::buffered;
        return;
    }
    m_mode = response_mode::piped;
    m_time_to_first_byte = core::runtime_clock::now() - m_arrival;
    begin_response();
}

/// The attempt at the other instance is over.
void relay_session::leave_peer()
{
    m_is_passing = false;
    m_is_outcome_open = false;
    m_call.reset();
}

void relay_session::on_passed_complete()
{
    record_response_end("whole");
    leave_peer();
    const unsigned status = m_head.result_int();
    if (m_response_started)
    {
        m_exchange->end_stream();
        end(status, "passed_on");
        return;
    }
    m_time_to_first_byte = core::runtime_clock::now() - m_arrival;
    m_bytes_sent = m_body.size();
    net::http_response response = m_state.m_codec.forward_head(m_head);
    response.body() = std::move(m_body);
    m_exchange->respond(std::move(response));
    end(status, "passed_on");
}

void relay_session::on_passed_failed(const net::call_failure& failure)
{
    record_response_end(net::to_string(failure.m_fault));
    leave_peer();
    observe::log("pass_failed", {{"request", m_request.m_id},
                                 {"peer", core::value_of(m_passed_to.back())},
                                 {"cause", net::to_string(failure.m_fault)},
                                 {"answering", m_response_started}});
    if (failure.m_stage != net::call_stage::connecting)
    {
        note_possible_execution();
        retry_unless_begun(net::to_string(failure.m_fault));
        return;
    }
    if (!pass_on())
    {
        end_without_upstream(refusal_reason::no_upstream,
                             m_state.m_session_settings.m_no_upstream_retry_after);
    }
}

} // namespace tarragontrail::relay
