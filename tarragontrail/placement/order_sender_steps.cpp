// Part of order_sender that reads the engine's state and sends orders.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/placement/order_sender.hpp"

#include <algorithm>

namespace tarragontrail::placement {

void order_sender::process_queue(core::time_point now)
{
    m_read_deferred = now < m_earliest_read;

    // A load slot is held only while its order is outstanding or can be sent. A sender that waits
    // for the engine's lease must not block a slot.
    const bool order_outstanding =
        m_step == step::ordered || (m_front_unanswered && m_read_deferred);
    if (!order_outstanding && !m_lease.is_held(now))
    {
        m_slot.release(now);
    }
    if (m_queue.empty())
    {
        m_lease.release(now);
        m_slot.release(now);
        return;
    }
    m_lease.acquire(now);
    if (m_step == step::ordered || !m_lease.is_held(now))
    {
        return;
    }

    // The engine's state is read before each order, under the current fencing number.
    if (m_step == step::ready && m_synced_fence != m_lease.fence())
    {
        m_step = step::unsynced;
    }
    if (m_step == step::unsynced && !m_read_deferred)
    {
        read_state();
    }
    if (m_step != step::ready)
    {
        return;
    }
    if (is_satisfied(m_queue.front(), m_state))
    {
        finish_front(order_result::done, now);
        process_queue(now);
        return;
    }
    if (takes_load_slot(m_queue.front()))
    {
        m_slot.acquire(now);
        if (!m_slot.is_held(now))
        {
            return;
        }
    }
    send_front(now);
}

bool order_sender::is_front(std::uint64_t number) const
{
    return m_step == step::ordered && m_queue.front().m_number == number;
}

void order_sender::read_state()
{
    m_step = step::reading;
    m_read_number = m_next_number++;
    m_synced_fence = m_lease.fence();
    m_actions.emplace_back(read_engine{m_upstream, m_read_number, m_synced_fence});
}

void order_sender::send_front(core::time_point now)
{
    const engine_order& order = m_queue.front();
    core::time_point latest = m_lease.latest_send();
    if (takes_load_slot(order))
    {
        latest = std::min(latest, m_slot.latest_send());
    }
    TARRAGONTRAIL_INVARIANT(now < latest, "order_sent_within_lease_and_slot");
    TARRAGONTRAIL_INVARIANT(m_synced_fence == m_lease.fence(), "state_read_before_order");
    m_step = step::ordered;
    m_actions.emplace_back(send_order{m_upstream, order, m_lease.fence(), latest});
}

void order_sender::finish_front(order_result result, core::time_point now)
{
    m_actions.emplace_back(order_ended{m_upstream, m_queue.front().m_number, result});
    m_queue.pop_front();
    m_slot.release(now);
}

} // namespace tarragontrail::placement
