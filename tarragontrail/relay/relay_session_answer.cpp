#include "tarragontrail/relay/relay_session.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>

namespace tarragontrail::relay {

void relay_session::on_head(std::uint64_t attempt, const net::http_response& head)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    const response_metadata answer =
        m_state.m_codec.parse_head(head, m_request, m_current.m_upstream->m_record);
    note_version(answer);
    if (answer.m_misdirected || answer.m_not_executed)
    {
        m_mode = answer_mode::discarded;
        if (answer.m_wrong_upstream)
        {
            // Its address was given to another upstream: the record is out of date.
            m_state.m_upstreams.remove(m_current.m_upstream->m_record.m_id,
                                       core::runtime_clock::now());
        }
        return;
    }
    if (!answer.m_authentic)
    {
        m_call->cancel();
        on_lost("foreign_answer");
        return;
    }
    m_head = head;
    if (answer.m_is_event_stream && answer.m_status == 200)
    {
        m_mode = answer_mode::events;
        return;
    }
    note_first_byte();
    m_mode = answer_mode::buffered;
}

void relay_session::on_body(std::uint64_t attempt, std::string_view piece)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    switch (m_mode)
    {
    case answer_mode::events:
        m_framer.feed(piece);
        forward_events();
        return;
    case answer_mode::buffered:
        m_body.append(piece);
        if (m_body.size() > m_state.m_session_settings.m_buffer_limit_bytes)
        {
            m_mode = answer_mode::piped;
            m_answering = true;
            m_exchange->begin_stream(m_state.m_codec.forward_head(m_head));
            m_exchange->write(m_body);
            m_bytes += m_body.size();
            m_body.clear();
        }
        return;
    case answer_mode::piped:
        m_bytes += piece.size();
        m_exchange->write(piece);
        return;
    case answer_mode::none:
    case answer_mode::discarded:
        return;
    }
}

/// Passes whole events on; a resumed run may repeat events that went out before.
void relay_session::forward_events()
{
    while (const std::optional<std::string> event = m_framer.next())
    {
        note_first_byte();
        const std::optional<std::uint64_t> id = id_of_event(*event);
        if (id && m_last_event && *id <= *m_last_event)
        {
            continue;
        }
        if (!m_answering)
        {
            m_answering = true;
            m_first_byte_time = core::runtime_clock::now() - m_arrived;
            m_state.m_metrics.note_first_token(m_first_byte_time);
            m_exchange->begin_stream(m_state.m_codec.forward_head(m_head));
        }
        const core::time_point now = core::runtime_clock::now();
        if (m_events++ > 0)
        {
            m_longest_pause = std::max(m_longest_pause, now - m_last_piece);
        }
        m_last_piece = now;
        m_bytes += event->size();
        m_exchange->write(*event);
        if (id)
        {
            m_last_event = id;
        }
    }
}

void relay_session::on_complete(std::uint64_t attempt)
{
    if (m_ended || attempt != m_attempt)
    {
        return;
    }
    if (m_mode == answer_mode::discarded)
    {
        on_rejected();
        return;
    }
    const unsigned status = m_head.result_int();
    if (m_mode == answer_mode::buffered && status >= 500 && may_repeat() && repeat_after_error())
    {
        return;
    }
    leave_upstream(attempt_end::completed);
    if (m_mode == answer_mode::buffered)
    {
        m_first_byte_time = core::runtime_clock::now() - m_arrived;
        net::http_response answer = m_state.m_codec.forward_head(m_head);
        m_bytes = m_body.size();
        answer.body() = std::move(m_body);
        m_exchange->respond(std::move(answer));
        end(status, "answered");
        return;
    }
    if (!m_answering)
    {
        m_exchange->begin_stream(m_state.m_codec.forward_head(m_head));
    }
    m_exchange->write(m_framer.rest());
    m_exchange->end_stream();
    end(status, "answered");
}

} // namespace tarragontrail::relay
