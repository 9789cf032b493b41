#include "tarragontrail/recovery/stream_tracker.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::recovery {

stream_tracker::stream_tracker(stream_tracker_settings settings, core::request_id request,
                               std::uint64_t from, core::time_point deadline, core::time_point now)
    : m_settings(settings), m_request(request), m_next(from), m_heard(now), m_deadline(deadline)
{}

void stream_tracker::on_chunk(const stream_chunk& chunk, core::time_point now)
{
    if (!is_current(chunk.m_request, chunk.m_attempt) || chunk.m_tokens == 0)
    {
        ++m_dropped;
        return;
    }
    m_heard = now;
    m_any_run = true;

    // A chunk that was delivered or is held came twice.
    if (chunk.m_offset < m_next || m_held.contains(chunk.m_offset))
    {
        ++m_dropped;
        return;
    }
    if (chunk.m_offset == m_next)
    {
        deliver_chunk(chunk.m_offset, chunk.m_tokens, chunk.m_text);
        deliver_held();
        m_gap_since.reset();
        note_gap(now);
        check_end(now);
        return;
    }

    // Chunks behind a gap are held, up to a limit.
    if (m_held.size() >= m_settings.m_max_held_chunks)
    {
        start_resume(now);
        return;
    }
    m_held.emplace(chunk.m_offset, held_chunk{chunk.m_tokens, chunk.m_text});
    note_gap(now);
}

void stream_tracker::on_end(const stream_end& end, core::time_point now)
{
    if (!is_current(end.m_request, end.m_attempt))
    {
        ++m_dropped;
        return;
    }
    m_heard = now;
    m_any_run = true;
    m_end = end.m_offset;
    note_gap(now);
    check_end(now);
}

void stream_tracker::on_attempt_lost(std::uint64_t attempt, bool proven_not_run,
                                     core::time_point now)
{
    if (m_closed || m_resuming || attempt != m_attempt)
    {
        return;
    }
    m_any_run = m_any_run || !proven_not_run;
    start_resume(now);
}

void stream_tracker::on_attempt_started(std::uint64_t attempt, core::time_point now)
{
    if (m_closed || attempt != m_attempt)
    {
        return;
    }
    m_resuming = false;
    m_heard = now;
}

void stream_tracker::on_retry_refused(core::time_point)
{
    if (m_closed)
    {
        return;
    }
    fail();
}

void stream_tracker::on_timer(core::time_point now)
{
    if (m_closed)
    {
        return;
    }
    if (now >= m_deadline)
    {
        m_any_run = m_any_run || !m_resuming;
        fail();
        return;
    }
    if (m_resuming)
    {
        return;
    }
    const bool gap = m_gap_since && now >= *m_gap_since + m_settings.m_gap_wait;
    const bool silent = now >= m_heard + m_settings.m_read_timeout;
    if (gap || silent)
    {
        m_any_run = true;
        start_resume(now);
    }
}

std::optional<core::time_point> stream_tracker::next_deadline() const
{
    if (m_closed)
    {
        return std::nullopt;
    }
    core::time_point next = m_deadline;
    if (m_resuming)
    {
        return next;
    }
    next = std::min<core::time_point>(next, m_heard + m_settings.m_read_timeout);
    if (m_gap_since)
    {
        next = std::min<core::time_point>(next, *m_gap_since + m_settings.m_gap_wait);
    }
    return next;
}

std::vector<stream_action> stream_tracker::take_actions()
{
    return std::exchange(m_actions, {});
}

bool stream_tracker::is_current(core::request_id request, std::uint64_t attempt) const noexcept
{
    return !m_closed && !m_resuming && request == m_request && attempt == m_attempt;
}

void stream_tracker::deliver_chunk(std::uint64_t offset, std::uint64_t tokens,
                                   const std::string& text)
{
    TARRAGONTRAIL_INVARIANT(offset == m_next && !m_closed, "stream_delivered_in_order_once");
    m_next += tokens;
    m_actions.emplace_back(deliver{offset, tokens, text});
}

void stream_tracker::deliver_held()
{
    while (!m_held.empty() && m_held.begin()->first <= m_next)
    {
        const auto node = m_held.extract(m_held.begin());
        if (node.key() < m_next)
        {
            ++m_dropped;
            continue;
        }
        deliver_chunk(node.key(), node.mapped().m_tokens, node.mapped().m_text);
    }
}

void stream_tracker::note_gap(core::time_point now)
{
    const bool missing = !m_held.empty() || (m_end && *m_end > m_next);
    if (missing && !m_gap_since)
    {
        m_gap_since = now;
    }
}

void stream_tracker::check_end(core::time_point now)
{
    if (!m_end || m_closed || *m_end > m_next)
    {
        return;
    }

    // Text beyond the end marker, or behind it still, contradicts the marker.
    if (*m_end < m_next || !m_held.empty())
    {
        start_resume(now);
        return;
    }
    TARRAGONTRAIL_INVARIANT(*m_end == m_next, "stream_finished_is_complete");
    m_closed = true;
    m_actions.emplace_back(finished{m_next});
}

void stream_tracker::start_resume(core::time_point now)
{
    m_held.clear();
    m_end.reset();
    m_gap_since.reset();
    if (now >= m_deadline)
    {
        fail();
        return;
    }
    ++m_attempt;
    m_resuming = true;
    m_actions.emplace_back(resume{m_attempt, m_next});
}

void stream_tracker::fail()
{
    m_closed = true;
    const core::execution state = m_any_run ? core::execution::unknown : core::execution::not_run;
    m_actions.emplace_back(failed{state, m_next});
}

} // namespace tarragontrail::recovery
