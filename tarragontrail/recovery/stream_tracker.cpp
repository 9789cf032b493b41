#include "tarragontrail/recovery/stream_tracker.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::recovery {

stream_tracker::stream_tracker(stream_tracker_settings settings, core::request_id request,
                               std::uint64_t from, core::time_point deadline, core::time_point now)
    : m_settings(settings), m_request(request), m_next_offset(from), m_last_received(now),
      m_deadline(deadline)
{}

void stream_tracker::on_chunk(const stream_chunk& chunk, core::time_point now)
{
    if (!is_current(chunk.m_request, chunk.m_attempt) || chunk.m_tokens == 0)
    {
        ++m_dropped;
        return;
    }
    m_last_received = now;
    m_may_have_run = true;

    // A chunk that was already delivered or buffered is a duplicate.
    if (chunk.m_offset < m_next_offset || m_buffered.contains(chunk.m_offset))
    {
        ++m_dropped;
        return;
    }
    if (chunk.m_offset == m_next_offset)
    {
        deliver_chunk(chunk.m_offset, chunk.m_tokens, chunk.m_text);
        deliver_buffered();
        m_gap_since.reset();
        record_gap(now);
        check_end(now);
        return;
    }

    // Chunks behind a gap are buffered up to a limit.
    if (m_buffered.size() >= m_settings.m_max_buffered_chunks)
    {
        start_resume(now);
        return;
    }
    m_buffered.emplace(chunk.m_offset, buffered_chunk{chunk.m_tokens, chunk.m_text});
    record_gap(now);
}

void stream_tracker::on_end(const stream_end& end, core::time_point now)
{
    if (!is_current(end.m_request, end.m_attempt))
    {
        ++m_dropped;
        return;
    }
    m_last_received = now;
    m_may_have_run = true;
    m_end = end.m_offset;
    record_gap(now);
    check_end(now);
}

void stream_tracker::on_attempt_lost(std::uint64_t attempt, bool proven_not_run,
                                     core::time_point now)
{
    if (m_is_closed || m_is_resuming || attempt != m_attempt)
    {
        return;
    }
    m_may_have_run = m_may_have_run || !proven_not_run;
    start_resume(now);
}

void stream_tracker::on_attempt_started(std::uint64_t attempt, core::time_point now)
{
    if (m_is_closed || attempt != m_attempt)
    {
        return;
    }
    m_is_resuming = false;
    m_last_received = now;
}

void stream_tracker::on_retry_refused(core::time_point)
{
    if (m_is_closed)
    {
        return;
    }
    fail();
}

void stream_tracker::on_timer(core::time_point now)
{
    if (m_is_closed)
    {
        return;
    }
    if (now >= m_deadline)
    {
        m_may_have_run = m_may_have_run || !m_is_resuming;
        fail();
        return;
    }
    if (m_is_resuming)
    {
        return;
    }
    const bool gap = m_gap_since && now >= *m_gap_since + m_settings.m_gap_timeout;
    const bool silent = now >= m_last_received + m_settings.m_read_timeout;
    if (gap || silent)
    {
        m_may_have_run = true;
        start_resume(now);
    }
}

std::optional<core::time_point> stream_tracker::next_deadline() const
{
    if (m_is_closed)
    {
        return std::nullopt;
    }
    core::time_point next = m_deadline;
    if (m_is_resuming)
    {
        return next;
    }
    next = std::min<core::time_point>(next, m_last_received + m_settings.m_read_timeout);
    if (m_gap_since)
    {
        next = std::min<core::time_point>(next, *m_gap_since + m_settings.m_gap_timeout);
    }
    return next;
}

std::vector<stream_action> stream_tracker::take_actions()
{
    return std::exchange(m_actions, {});
}

bool stream_tracker::is_current(core::request_id request, std::uint64_t attempt) const noexcept
{
    return !m_is_closed && !m_is_resuming && request == m_request && attempt == m_attempt;
}

void stream_tracker::deliver_chunk(std::uint64_t offset, std::uint64_t tokens,
                                   const std::string& text)
{
    TARRAGONTRAIL_INVARIANT(offset == m_next_offset && !m_is_closed,
                            "stream_delivered_in_order_once");
    m_next_offset += tokens;
    m_actions.emplace_back(deliver{offset, tokens, text});
}

void stream_tracker::deliver_buffered()
{
    while (!m_buffered.empty() && m_buffered.begin()->first <= m_next_offset)
    {
        const auto node = m_buffered.extract(m_buffered.begin());
        if (node.key() < m_next_offset)
        {
            ++m_dropped;
            continue;
        }
        deliver_chunk(node.key(), node.mapped().m_tokens, node.mapped().m_text);
    }
}

void stream_tracker::record_gap(core::time_point now)
{
    const bool missing = !m_buffered.empty() || (m_end && *m_end > m_next_offset);
    if (missing && !m_gap_since)
    {
        m_gap_since = now;
    }
}

void stream_tracker::check_end(core::time_point now)
{
    if (!m_end || m_is_closed || *m_end > m_next_offset)
    {
        return;
    }

    // Text delivered or buffered beyond the end marker contradicts the marker.
    if (*m_end < m_next_offset || !m_buffered.empty())
    {
        start_resume(now);
        return;
    }
    TARRAGONTRAIL_INVARIANT(*m_end == m_next_offset, "stream_finished_is_complete");
    m_is_closed = true;
    m_actions.emplace_back(finished{m_next_offset});
}

void stream_tracker::start_resume(core::time_point now)
{
    m_buffered.clear();
    m_end.reset();
    m_gap_since.reset();
    if (now >= m_deadline)
    {
        fail();
        return;
    }
    ++m_attempt;
    m_is_resuming = true;
    m_actions.emplace_back(resume{m_attempt, m_next_offset});
}

void stream_tracker::fail()
{
    m_is_closed = true;
    const core::execution state =
        m_may_have_run ? core::execution::unknown : core::execution::not_run;
    m_actions.emplace_back(failed{state, m_next_offset});
}

} // namespace tarragontrail::recovery
