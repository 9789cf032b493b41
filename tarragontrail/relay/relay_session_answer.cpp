#include "tarragontrail/relay/relay_session.hpp"

#include "tarragontrail/net/connection_probe.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// No upstream that has been leaving for this long gets a request.
constexpr std::chrono::hours longest_leaving_time{1};

} // namespace

void relay_session::on_head(std::uint64_t attempt, const net::http_response& head,
                            net::body_framing framing)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    if (m_is_passing)
    {
        on_passed_head(head, framing);
        return;
    }
    m_state.m_reach.on_response(m_service);
    note_start_seen();
    const response_metadata metadata =
        m_state.m_codec.parse_head(head, m_request, m_selection.m_upstream->m_record);
    record_weights_version(metadata);
    if (metadata.m_authentic && !metadata.m_wrong_upstream &&
        m_selection.m_upstream->m_record.m_started == m_asked_start)
    {
        m_state.on_notice(*m_selection.m_upstream, metadata.m_notice);
    }
    if (!metadata.m_authentic)
    {
        note_unproven_response(metadata);
    }
    if (is_proven_refusal(metadata))
    {
        // The head tells all, and a repeat of it could not be told from a refusal of the next send.
        m_call->cancel();
        const std::shared_ptr<upstream> asked = m_selection.m_upstream;
        on_not_executed();
        if (metadata.m_wrong_upstream)
        {
            on_upstream_replaced(*asked);
        }
        return;
    }
    if (!metadata.m_authentic)
    {
        // The own answer may follow one that answers an earlier request.
        if (metadata.m_names == named_request::other && m_call->skip_response())
        {
            return;
        }
        m_call->cancel();
        on_connection_lost("foreign_answer");
        return;
    }
    if (is_promise(metadata.m_status))
    {
        m_call->cancel();
        on_unproven_refusal(metadata.m_status);
        return;
    }
    const bool is_stream = metadata.m_is_event_stream && metadata.m_status == 200;
    if (m_response_started && !is_stream)
    {
        // Its bytes belong to no event of the stream that the caller is reading.
        m_call->cancel();
        on_connection_lost("resumed_without_stream");
        return;
    }
    m_head = head;
    m_framing = framing;
    if (is_stream)
    {
        m_mode = response_mode::events;
        return;
    }
    on_first_byte();
    m_mode = response_mode::buffered;
}

/// Whether the upstream of the current attempt has surely not executed the request: it says so,
/// another one answered in its place, or it shows other weights than the request names.
bool relay_session::is_proven_refusal(const response_metadata& response) const
{
    const bool has_other_weights = response.m_misdirected && m_selection.m_version &&
                                   response.m_version &&
                                   response.m_version != m_selection.m_version;
    return response.m_not_executed || response.m_wrong_upstream || has_other_weights;
}

/// Another upstream answers at the address of one, whose record is out of date. The process ended;
/// unless it had said that it leaves, a request may have crashed it.
void relay_session::on_upstream_replaced(const upstream& departed)
{
    const upstream_record record = departed.m_record;
    const core::time_point now = core::runtime_clock::now();
    observe::log("upstream_replaced", {{"name", record.m_name}, {"leaving", record.m_leaving}});
    m_state.m_upstreams.remove(record.m_id, now);
    if (const auto gone = m_state.m_upstreams.find(record.m_id))
    {
        // Unlike one that leaves, it runs no request any more.
        gone->m_leaving_since = now - longest_leaving_time;
    }
    if (!record.m_leaving)
    {
        m_state.m_crash_attribution.on_engine_replaced(record.m_id, record.m_started, now);
    }
}

/// Tells of a response that does not prove to answer the request.
void relay_session::note_unproven_response(const response_metadata& response)
{
    const char* kind = kind_of_unproven(response);
    const net::connection_use use = m_call->use();
    observe::log("unproven_response", {{"request", m_request.m_id},
                                       {"kind", kind},
                                       {"named", response.m_named_id},
                                       {"status", response.m_status},
                                       {"upstream", m_selection.m_upstream->m_record.m_name},
                                       {"age_ms", rounded_milliseconds(use.m_age)},
                                       {"requests", use.m_requests}});
    m_state.m_metrics.count_unproven_response(kind);
}

void relay_session::on_body(std::uint64_t attempt, std::string_view chunk)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    switch (m_mode)
    {
    case response_mode::events:
        m_framer.feed(chunk);
        note_start_seen();
        if (is_start_proven())
        {
            forward_events();
        }
        else
        {
            prove_start();
        }
        if (!m_ended &&
            m_framer.remainder().size() > m_state.m_session_settings.m_event_limit_bytes)
        {
            m_call->cancel();
            on_connection_lost("event_too_long");
        }
        return;
    case response_mode::buffered:
        m_body.append(chunk);
        if (m_body.size() > m_state.m_session_settings.m_buffer_limit_bytes ||
            !m_exchange->hold(m_body.capacity()))
        {
            m_mode = response_mode::piped;
            begin_response();
            m_exchange->write(m_body);
            m_bytes_sent += m_body.size();
            std::string().swap(m_body);
            m_exchange->hold(0);
        }
        return;
    case response_mode::piped:
        m_bytes_sent += chunk.size();
        m_exchange->write(chunk);
        return;
    case response_mode::none:
        return;
    }
}

/// Begins the response to the caller. Its end may claim no more than the upstream's: one that only
/// the close of its connection ends is passed on in the same way.
void relay_session::begin_response()
{
    m_response_started = true;
    m_ends_with_close = m_framing == net::body_framing::until_close;
    net::http_response head = m_state.m_codec.forward_head(m_head);
    if (m_ends_with_close)
    {
        m_exchange->begin_until_close(std::move(head));
        return;
    }
    m_exchange->begin_stream(std::move(head));
}

/// Record of the attempt's upstream as it was when the request was sent.
upstream_record relay_session::asked_record() const
{
    upstream_record asked = m_selection.m_upstream->m_record;
    asked.m_started = m_asked_start;
    return asked;
}

/// Bytes on a connection that leads to the start of the record show that this is there.
void relay_session::note_start_seen()
{
    const core::time_point now = core::runtime_clock::now();
    if (m_connection_opened == core::time_point{})
    {
        m_connection_opened = now - m_call->use().m_age;
    }
    upstream& current = *m_selection.m_upstream;
    if (current.m_record.m_started != m_asked_start ||
        !current.is_start_behind(m_connection_opened))
    {
        return;
    }
    m_is_start_proven = true;
    current.on_start_seen(now);
}

/// Whether the events of a resumable stream surely come from the software version that they must
/// come from: another start, of another version, may have taken the upstream's place and id.
bool relay_session::is_start_proven() const
{
    return m_is_start_proven || !m_software || m_state.m_engines == nullptr;
}

/// Asks the upstream for its start. Events are not forwarded before the answer.
void relay_session::prove_start()
{
    if (m_is_start_asked)
    {
        return;
    }
    m_is_start_asked = true;
    m_state.m_engines->check_presence(
        asked_record(), [weak = weak_from_this(), attempt = m_attempt,
                         asked_at = core::runtime_clock::now()](process_presence presence) {
            const auto self = weak.lock();
            if (self && !self->m_ended && attempt == self->m_attempt && self->m_counted_as_load)
            {
                self->run_guarded("start", [&] { self->on_start_checked(presence, asked_at); });
            }
        });
}

void relay_session::on_start_checked(process_presence presence, core::time_point asked_at)
{
    m_is_start_asked = false;
    if (is_start_proven())
    {
        return;
    }
    const bool may_ask_again = presence == process_presence::silent &&
                               ++m_start_checks < m_state.m_session_settings.m_max_end_checks;
    if (may_ask_again)
    {
        prove_start();
        return;
    }
    upstream& current = *m_selection.m_upstream;
    if (presence != process_presence::same)
    {
        observe::log("start_unproven", {{"request", m_request.m_id},
                                        {"upstream", current.m_record.m_name},
                                        {"software", m_software->m_name},
                                        {"replaced", presence == process_presence::another}});
        current.doubt(core::runtime_clock::now());
        if (m_call)
        {
            m_call->cancel();
        }
        on_connection_lost("start_unproven");
        return;
    }
    m_is_start_proven = true;
    if (current.m_record.m_started == m_asked_start)
    {
        current.on_start_seen(asked_at);
    }
    forward_events();
    if (m_ended_before_proof && !m_ended)
    {
        on_complete(m_attempt);
    }
}

/// Forwards complete events; skips those that a resumed run sends again.
void relay_session::forward_events()
{
    while (const std::optional<std::string> event = m_framer.next())
    {
        on_first_byte();
        const std::optional<std::uint64_t> id = parse_event_id(*event);
        if (id && m_resumed_after && *id <= *m_resumed_after)
        {
            continue;
        }
        if (!m_response_started)
        {
            m_time_to_first_byte = core::runtime_clock::now() - m_arrival;
            m_state.m_metrics.note_first_token(m_time_to_first_byte);
            note_begun_stream(core::runtime_clock::now());
            begin_response();
        }
        const core::time_point now = core::runtime_clock::now();
        if (m_events_sent++ > 0)
        {
            m_max_event_gap = std::max(m_max_event_gap, now - m_last_event_time);
        }
        m_last_event_time = now;
        m_bytes_sent += event->size();
        m_exchange->write(*event);
        note_position(*event, id);
    }
}

/// An engine goes on exactly behind an event only if that has a higher id than all before it.
void relay_session::note_position(std::string_view event, const std::optional<std::uint64_t>& id)
{
    if (id && (!m_last_event_id || *id > *m_last_event_id))
    {
        m_last_event_id = id;
        m_is_position_known = true;
        return;
    }
    m_is_position_known = m_is_position_known && !has_data(event);
}

void relay_session::on_complete(std::uint64_t attempt)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    if (m_is_passing)
    {
        on_passed_complete();
        return;
    }
    if (m_mode == response_mode::events && !is_start_proven())
    {
        m_ended_before_proof = true;
        prove_start();
        return;
    }
    const bool is_closed = m_framing == net::body_framing::until_close;
    if (is_closed)
    {
        // What listens there next may be another start, of another version.
        m_selection.m_upstream->doubt(core::runtime_clock::now());
    }
    if (m_mode == response_mode::events && m_framer.is_inside_event())
    {
        on_connection_lost("ended_inside_event");
        return;
    }
    if (!is_closed)
    {
        finish_response();
        return;
    }
    if (m_mode == response_mode::events && !m_first_byte_received)
    {
        on_connection_lost("closed_before_event");
        return;
    }
    confirm_upstream_is_there();
}

/// The connections of a process that ends are closed in the ordinary way too, so the close proves
/// the end of an answer only while the process that gave it is there.
void relay_session::confirm_upstream_is_there()
{
    const upstream_record asked = asked_record();
    if (m_state.m_engines == nullptr)
    {
        probe_end(true);
        return;
    }
    m_state.m_engines->check_presence(
        asked, [weak = weak_from_this(), attempt = m_attempt](process_presence presence) {
            const auto self = weak.lock();
            if (self && !self->m_ended && attempt == self->m_attempt)
            {
                self->run_guarded("presence", [&] { self->on_end_checked(presence); });
            }
        });
}

void relay_session::on_end_checked(process_presence presence)
{
    switch (presence)
    {
    case process_presence::same:
        finish_response();
        return;
    case process_presence::another:
        if (m_selection.m_upstream->m_leaving_since)
        {
            on_end_unproven();
            return;
        }
        on_connection_lost("upstream_restarted");
        return;
    case process_presence::silent:
        probe_end(false);
        return;
    }
}

/// Finds out whether anything listens at the upstream; `listening_suffices` tells that this proves
/// it to be there.
void relay_session::probe_end(bool listening_suffices)
{
    net::probe_connection(m_state.m_context, m_selection.m_upstream->m_record.m_endpoint,
                          m_state.m_session_settings.m_end_probe_limit,
                          [weak = weak_from_this(), attempt = m_attempt,
                           listening_suffices](net::probe_result result) {
                              const auto self = weak.lock();
                              if (!self || self->m_ended || attempt != self->m_attempt)
                              {
                                  return;
                              }
                              self->run_guarded("probe", [&self, result, listening_suffices] {
                                  self->on_end_probed(result, listening_suffices);
                              });
                          });
}

void relay_session::on_end_probed(net::probe_result result, bool listening_suffices)
{
    if (result == net::probe_result::connected && listening_suffices)
    {
        finish_response();
        return;
    }
    const upstream& current = *m_selection.m_upstream;
    const bool is_refused = result == net::probe_result::refused;
    if (!is_refused && !listening_suffices &&
        ++m_end_checks < m_state.m_session_settings.m_max_end_checks)
    {
        // A sound upstream may be silent for a while.
        confirm_upstream_is_there();
        return;
    }
    if (!is_refused || current.m_leaving_since)
    {
        on_end_unproven();
        return;
    }
    const upstream_record ended = current.m_record;
    on_connection_lost("upstream_crashed");
    m_state.m_crash_attribution.on_connection_refused(ended.m_id, ended.m_started,
                                                      core::runtime_clock::now());
}

/// Passes on the end of a response that is whole as far as its upstream tells.
void relay_session::finish_response()
{
    const bool is_closed_only = m_framing == net::body_framing::until_close;
    if (is_closed_only && m_response_started && !m_ends_with_close)
    {
        on_end_unproven();
        return;
    }
    record_response_end("whole");
    const unsigned status = m_head.result_int();
    if (m_mode == response_mode::buffered && status >= 500 && is_repeatable() &&
        retry_after_error())
    {
        return;
    }
    release_upstream(attempt_outcome::completed);
    if (m_mode == response_mode::buffered)
    {
        m_time_to_first_byte = core::runtime_clock::now() - m_arrival;
        m_bytes_sent = m_body.size();
        if (!is_closed_only)
        {
            net::http_response response = m_state.m_codec.forward_head(m_head);
            response.body() = std::move(m_body);
            m_exchange->respond(std::move(response));
            end(status, "answered");
            return;
        }
        begin_response();
        m_exchange->write(m_body);
    }
    if (!m_response_started)
    {
        begin_response();
    }
    m_exchange->write(m_framer.remainder());
    m_exchange->end_stream();
    end(status, "answered");
}

} // namespace tarragontrail::relay
