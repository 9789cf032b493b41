#include "tarragontrail/limits/fair_queue.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::limits {

void fair_queue::push(const queued_request& request, core::time_point now)
{
    expire(now);
    if (m_slots.contains(request.m_request) || m_running.contains(request.m_request))
    {
        return;
    }
    if (request.m_deadline <= now)
    {
        m_actions.emplace_back(queue_refused{request.m_request, queue_refusal::deadline_expired});
        return;
    }
    const auto known = m_workspace_queues.find(request.m_workspace);
    const std::size_t own = known == m_workspace_queues.end() ? 0 : known->second.m_waiting;
    if (m_waiting >= m_settings.m_queued_requests || own >= m_settings.m_queued_per_workspace)
    {
        m_actions.emplace_back(queue_refused{request.m_request, queue_refusal::queue_full});
        return;
    }

    // A workspace joins the round robin with its first waiting request.
    if (known == m_workspace_queues.end())
    {
        m_round_robin.push_back(request.m_workspace);
    }
    const std::uint32_t slot = allocate_slot(request);
    workspace_queue& waiting = m_workspace_queues[request.m_workspace];
    entry_list& list = waiting.m_lists[static_cast<std::size_t>(request.m_priority)];
    m_entries[slot].m_previous = list.m_last;
    if (list.m_last != no_slot)
    {
        m_entries[list.m_last].m_next = slot;
    }
    list.m_last = slot;
    list.m_first = list.m_first == no_slot ? slot : list.m_first;
    ++waiting.m_waiting;
    ++m_waiting;
    dispatch_ready();
}

bool fair_queue::cancel(core::request_id request, core::time_point now)
{
    const auto found = m_slots.find(request);
    if (found == m_slots.end())
    {
        return false;
    }
    remove(found->second);
    expire(now);
    dispatch_ready();
    return true;
}

void fair_queue::on_finished(core::request_id request, core::time_point now)
{
    expire(now);
    const auto found = m_running.find(request);
    if (found == m_running.end())
    {
        return;
    }
    TARRAGONTRAIL_INVARIANT(found->second <= m_in_flight, "limits.in_flight_not_negative");
    m_in_flight -= found->second;
    m_running.erase(found);
    dispatch_ready();
    check_idle_invariants();
}

std::optional<core::time_point> fair_queue::next_deadline() const
{
    if (m_expiries.empty())
    {
        return std::nullopt;
    }
    return m_expiries.front().m_deadline;
}

void fair_queue::on_timer(core::time_point now)
{
    expire(now);
    dispatch_ready();
}

std::uint32_t fair_queue::allocate_slot(const queued_request& request)
{
    if (m_free_slots.empty())
    {
        m_free_slots.push_back(static_cast<std::uint32_t>(m_entries.size()));
        m_entries.emplace_back();
    }
    const std::uint32_t slot = m_free_slots.back();
    m_free_slots.pop_back();
    m_entries[slot] = entry{request, ++m_last_serial, no_slot, no_slot};
    m_slots.emplace(request.m_request, slot);
    m_expiries.push_back({request.m_deadline, slot, m_last_serial});
    std::push_heap(m_expiries.begin(), m_expiries.end(), expires_later);
    return slot;
}

void fair_queue::remove(std::uint32_t slot)
{
    entry& gone = m_entries[slot];
    workspace_queue& waiting = m_workspace_queues.at(gone.m_request.m_workspace);
    entry_list& list = waiting.m_lists[static_cast<std::size_t>(gone.m_request.m_priority)];
    std::uint32_t& before =
        gone.m_previous == no_slot ? list.m_first : m_entries[gone.m_previous].m_next;
    std::uint32_t& after = gone.m_next == no_slot ? list.m_last : m_entries[gone.m_next].m_previous;
    before = gone.m_next;
    after = gone.m_previous;

    --waiting.m_waiting;
    --m_waiting;
    if (waiting.m_waiting == 0)
    {
        waiting.m_deficit = 0;
    }
    m_slots.erase(gone.m_request.m_request);
    gone.m_serial = 0;
    m_free_slots.push_back(slot);
    drop_stale_expiries();
}

std::uint32_t fair_queue::first_waiting(const workspace_queue& waiting) const
{
    for (const entry_list& list : waiting.m_lists)
    {
        if (list.m_first != no_slot)
        {
            return list.m_first;
        }
    }
    return no_slot;
}

void fair_queue::expire(core::time_point now)
{
    while (!m_expiries.empty() && m_expiries.front().m_deadline <= now)
    {
        const std::uint32_t slot = m_expiries.front().m_slot;
        m_actions.emplace_back(
            queue_refused{m_entries[slot].m_request.m_request, queue_refusal::deadline_expired});
        remove(slot);
    }
}

void fair_queue::drop_stale_expiries()
{
    while (!m_expiries.empty() &&
           m_entries[m_expiries.front().m_slot].m_serial != m_expiries.front().m_serial)
    {
        std::pop_heap(m_expiries.begin(), m_expiries.end(), expires_later);
        m_expiries.pop_back();
    }
}

void fair_queue::dispatch_ready()
{
    while (!m_round_robin.empty())
    {
        const core::workspace_id workspace = m_round_robin.front();
        workspace_queue& first = m_workspace_queues.at(workspace);
        if (first.m_waiting == 0)
        {
            m_round_robin.pop_front();
            m_workspace_queues.erase(workspace);
            m_quantum_granted = false;
            continue;
        }
        if (!std::exchange(m_quantum_granted, true))
        {
            first.m_deficit += m_settings.m_quantum_tokens;
        }

        // A request that costs more than the deficit waits for a later turn.
        const std::uint32_t slot = first_waiting(first);
        const queued_request next = m_entries[slot].m_request;
        if (next.m_cost_tokens > first.m_deficit)
        {
            m_round_robin.pop_front();
            m_round_robin.push_back(workspace);
            m_quantum_granted = false;
            continue;
        }
        if (m_in_flight > 0 && m_in_flight + next.m_cost_tokens > m_settings.m_in_flight_tokens)
        {
            return;
        }

        first.m_deficit -= next.m_cost_tokens;
        remove(slot);
        m_in_flight += next.m_cost_tokens;
        m_running.emplace(next.m_request, next.m_cost_tokens);
        m_actions.emplace_back(dispatch{next.m_request});
    }
}

void fair_queue::check_idle_invariants() const
{
    TARRAGONTRAIL_INVARIANT(!m_running.empty() || m_in_flight == 0,
                            "limits.idle_has_none_in_flight");
    TARRAGONTRAIL_INVARIANT(m_waiting > 0 || m_slots.empty(), "limits.idle_has_none_waiting");
}

} // namespace tarragontrail::limits
