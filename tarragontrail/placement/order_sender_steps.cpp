// Steps of order_sender with its engine.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/placement/order_sender.hpp"

#include <algorithm>

namespace tarragontrail::placement {

void order_sender::step_forward(core::time_point now)
{
    m_waits_quiet = now < m_quiet_at;

    // A slot is kept only while its order is out or can go: whoever waits for the engine holds
    // none.
    const bool order_out = m_step == step::ordered || (m_front_lost && m_waits_quiet);
    if (!order_out && !m_lease.is_held(now))
    {
        m_slot.drop(now);
    }
    if (m_queue.empty())
    {
        m_lease.drop(now);
        m_slot.drop(now);
        return;
    }
    m_lease.want(now);
    if (m_step == step::ordered || !m_lease.is_held(now))
    {
        return;
    }

    // The engine's state is read before each order, under the present holding.
    if (m_step == step::ready && m_synced_fence != m_lease.fence())
    {
        m_step = step::unsynced;
    }
    if (m_step == step::unsynced && !m_waits_quiet)
    {
        read_state();
    }
    if (m_step != step::ready)
    {
        return;
    }
    if (is_satisfied(m_queue.front(), m_state))
    {
        end_front(order_result::done, now);
        step_forward(now);
        return;
    }
    if (takes_load_slot(m_queue.front()))
    {
        m_slot.want(now);
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

void order_sender::end_front(order_result result, core::time_point now)
{
    m_actions.emplace_back(order_ended{m_upstream, m_queue.front().m_number, result});
    m_queue.pop_front();
    m_slot.drop(now);
}

} // namespace tarragontrail::placement
