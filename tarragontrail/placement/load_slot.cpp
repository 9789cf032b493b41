#include "tarragontrail/placement/load_slot.hpp"

#include <algorithm>

namespace tarragontrail::placement {

load_slot::load_slot(row_lease_settings settings, const std::string& table, core::instance_id self,
                     core::incarnation started, std::uint64_t nonce)
    : m_slots{row_lease(settings, table, "load-slot-0", self, started, nonce),
              row_lease(settings, table, "load-slot-1", self, started, nonce)}
{}

void load_slot::acquire(core::time_point now)
{
    if (m_wanted)
    {
        return;
    }
    m_wanted = true;
    for (row_lease& slot : m_slots)
    {
        slot.acquire(now);
    }
}

void load_slot::release(core::time_point now)
{
    m_wanted = false;
    m_held_slot.reset();
    for (row_lease& slot : m_slots)
    {
        slot.release(now);
    }
}

void load_slot::on_read(std::size_t slot, const idempotency::read_result& result,
                        core::time_point now)
{
    m_slots.at(slot).on_read(result, now);
    choose_slot(now);
}

void load_slot::on_written(std::size_t slot, const idempotency::write_result& result,
                           core::time_point now)
{
    m_slots.at(slot).on_written(result, now);
    choose_slot(now);
}

void load_slot::on_failed(std::size_t slot, core::time_point now)
{
    m_slots.at(slot).on_failed(now);
}

void load_slot::on_timer(core::time_point now)
{
    for (row_lease& slot : m_slots)
    {
        slot.on_timer(now);
    }
}

std::optional<core::time_point> load_slot::next_deadline() const
{
    std::optional<core::time_point> next;
    for (const row_lease& slot : m_slots)
    {
        const std::optional<core::time_point> due = slot.next_deadline();
        if (due && (!next || *due < *next))
        {
            next = due;
        }
    }
    return next;
}

std::optional<lease_operation> load_slot::take_operation(std::size_t slot)
{
    return m_slots.at(slot).take_operation();
}

bool load_slot::is_held(core::time_point now) const
{
    return m_held_slot && m_slots[*m_held_slot].is_held(now);
}

core::time_point load_slot::latest_send() const
{
    return m_held_slot ? m_slots[*m_held_slot].latest_send() : core::time_point::min();
}

void load_slot::choose_slot(core::time_point now)
{
    if (!m_wanted)
    {
        return;
    }

    // Another holder took over the slot, so a load under it has ended; any slot can be used again.
    if (m_held_slot && m_slots[*m_held_slot].is_blocked())
    {
        m_held_slot.reset();
        for (row_lease& slot : m_slots)
        {
            slot.acquire(now);
        }
    }
    if (m_held_slot)
    {
        return;
    }
    const auto held = std::find_if(m_slots.begin(), m_slots.end(),
                                   [&](const row_lease& slot) { return slot.is_held(now); });
    if (held == m_slots.end())
    {
        return;
    }
    m_held_slot = static_cast<std::size_t>(held - m_slots.begin());
    for (std::size_t i = 0; i < m_slots.size(); ++i)
    {
        if (i == *m_held_slot)
        {
            continue;
        }
        m_slots[i].release(now);
    }
}

} // namespace tarragontrail::placement
