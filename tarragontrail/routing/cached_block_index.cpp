#include "tarragontrail/routing/cached_block_index.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::routing {

cached_block_index::cached_block_index(core::upstream_id engine,
                                       const cached_block_index_settings& settings)
    : m_engine(engine), m_settings(settings),
      m_blocks(settings.m_expected_blocks, settings.m_max_bytes), m_block_lifetime(settings)
{}

void cached_block_index::on_event(const cache_event& event, core::time_point now)
{
    if (event.m_incarnation < m_incarnation)
    {
        return;
    }
    if (event.m_incarnation > m_incarnation)
    {
        reset_for_incarnation(event.m_incarnation);
    }
    m_highest_sequence = std::max(m_highest_sequence, event.m_sequence);

    // Duplicates are ignored. Batches received out of order are buffered until those before them
    // arrive.
    if (event.m_sequence <= m_applied_sequence)
    {
        return;
    }
    if (m_complete && event.m_sequence == m_applied_sequence + 1)
    {
        apply_event(event, now);
        return;
    }
    buffer_event(event);
    update_completeness(now);
}

void cached_block_index::on_snapshot(const cache_snapshot& snapshot, core::time_point now)
{
    if (snapshot.m_incarnation < m_incarnation)
    {
        return;
    }
    if (snapshot.m_incarnation > m_incarnation)
    {
        reset_for_incarnation(snapshot.m_incarnation);
        m_has_baseline = false;
    }

    // A snapshot that is no newer is needed only if the current entries have no baseline.
    const bool newer = snapshot.m_sequence > m_applied_sequence;
    if (!newer && (m_has_baseline || snapshot.m_sequence < m_applied_sequence))
    {
        return;
    }

    m_blocks.clear();
    for (const std::uint64_t hash : snapshot.m_blocks)
    {
        m_refused_blocks += m_blocks.insert(hash) ? 0 : 1;
    }
    m_applied_sequence = snapshot.m_sequence;
    m_highest_sequence = std::max(m_highest_sequence, m_applied_sequence);
    m_has_baseline = true;
    m_request_at.reset();
    m_earliest_request_at = now + m_settings.m_snapshot_interval;
    update_completeness(now);
}

void cached_block_index::on_sequence_announced(core::incarnation incarnation,
                                               std::uint64_t sequence, core::time_point now)
{
    if (incarnation < m_incarnation)
    {
        return;
    }
    if (incarnation > m_incarnation)
    {
        reset_for_incarnation(incarnation);
    }
    m_highest_sequence = std::max(m_highest_sequence, sequence);
    update_completeness(now);
}

void cached_block_index::on_stream_lost(core::time_point now)
{
    m_has_baseline = false;
    schedule_snapshot_request(now);
}

void cached_block_index::on_timer(core::time_point now)
{
    if (!m_request_at.has_value() || now < *m_request_at)
    {
        return;
    }
    m_snapshot_requests.push_back({m_engine, m_incarnation, m_applied_sequence + 1});
    m_request_at = now + m_settings.m_snapshot_retry_delay;
}

std::vector<request_snapshot> cached_block_index::take_snapshot_requests()
{
    return std::exchange(m_snapshot_requests, {});
}

std::size_t cached_block_index::depth(std::span<const std::uint64_t> hashes) const noexcept
{
    std::size_t depth = 0;
    for (const std::uint64_t hash : hashes)
    {
        if (!contains(hash))
        {
            break;
        }
        ++depth;
    }
    return depth;
}

void cached_block_index::reset_for_incarnation(core::incarnation incarnation)
{
    m_incarnation = incarnation;
    m_blocks.clear();
    m_buffered.clear();
    m_block_lifetime.clear_sample();
    m_applied_sequence = 0;
    m_highest_sequence = 0;
    m_has_baseline = true;
    m_complete = true;
    m_request_at.reset();
    m_earliest_request_at = {};
}

void cached_block_index::schedule_snapshot_request(core::time_point now)
{
    m_complete = false;
    if (m_request_at.has_value())
    {
        return;
    }

    // Late batches often close a gap, and a snapshot is large, so the request is delayed.
    const core::duration delay = m_has_baseline ? m_settings.m_gap_timeout : core::duration{};
    m_request_at = std::max(now + delay, m_earliest_request_at);
    on_timer(now);
}

void cached_block_index::apply_event(const cache_event& event, core::time_point now)
{
    TARRAGONTRAIL_INVARIANT(event.m_incarnation == m_incarnation, "index_entry_of_one_incarnation");
    TARRAGONTRAIL_INVARIANT(event.m_sequence == m_applied_sequence + 1, "index_events_without_gap");
    for (const std::uint64_t hash : event.m_stored)
    {
        m_refused_blocks += m_blocks.insert(hash) ? 0 : 1;
        m_block_lifetime.on_stored(hash, now);
    }
    for (const std::uint64_t hash : event.m_evicted)
    {
        m_blocks.erase(hash);
        m_block_lifetime.on_evicted(hash, now);
    }
    m_applied_sequence = event.m_sequence;
}

void cached_block_index::buffer_event(const cache_event& event)
{
    const auto position = std::lower_bound(
        m_buffered.begin(), m_buffered.end(), event.m_sequence,
        [](const cache_event& held, std::uint64_t sequence) { return held.m_sequence < sequence; });
    if (position != m_buffered.end() && position->m_sequence == event.m_sequence)
    {
        return;
    }
    m_buffered.insert(position, event);
    if (m_buffered.size() > m_settings.m_max_buffered_events)
    {
        m_buffered.erase(m_buffered.begin());
    }
}

void cached_block_index::apply_buffered(core::time_point now)
{
    for (const cache_event& event : m_buffered)
    {
        if (event.m_sequence != m_applied_sequence + 1)
        {
            continue;
        }
        apply_event(event, now);
    }
    std::erase_if(m_buffered,
                  [&](const cache_event& event) { return event.m_sequence <= m_applied_sequence; });
}

void cached_block_index::update_completeness(core::time_point now)
{
    if (m_has_baseline)
    {
        apply_buffered(now);
    }
    m_complete = m_has_baseline && m_applied_sequence >= m_highest_sequence;
    if (m_complete)
    {
        m_request_at.reset();
        return;
    }
    schedule_snapshot_request(now);
}

} // namespace tarragontrail::routing
