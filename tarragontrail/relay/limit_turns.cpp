#include "tarragontrail/relay/limit_turns.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::relay {

void turn_order::set_members(std::vector<turn_member> members)
{
    m_members = std::move(members);
    const auto heard = static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(),
                      [](const turn_member& member) { return member.m_is_heard; }));
    m_hears_most = heard * 2 > m_members.size();
}

bool turn_order::is_own(std::uint64_t upstream, std::uint64_t number) const
{
    const std::uint64_t key = core::hash_pair(upstream, number);
    const std::uint64_t own = core::rendezvous_score(key, core::value_of(m_self));
    return std::none_of(m_members.begin(), m_members.end(), [&](const turn_member& member) {
        const bool takes_turns = member.m_is_heard || !m_hears_most;
        return takes_turns && member.m_instance != m_self &&
               core::rendezvous_score(key, core::value_of(member.m_instance)) > own;
    });
}

void limit_turns::set_rate(double per_second, store_time now)
{
    m_per_second = per_second;
    m_open.clear();
    m_next_slot = slot_at(now) + 1;
}

void limit_turns::refill(const turn_order& order, store_time now)
{
    const store_time oldest = now - turn_lifetime();
    const std::uint64_t current = slot_at(now);
    if (m_next_slot > current + 1)
    {
        // The clock that the instances share was set back, or is known only now.
        m_open.clear();
        m_next_slot = current + 1;
    }
    m_next_slot = std::max(m_next_slot, slot_at(oldest) + 1);
    for (; m_next_slot <= current; ++m_next_slot)
    {
        if (order.is_own(m_upstream, m_next_slot))
        {
            m_open.push_back(start_of(m_next_slot));
        }
    }
    while (!m_open.empty() &&
           (m_open.front() < oldest || m_open.size() > m_settings.m_most_open_turns))
    {
        m_open.pop_front();
    }
}

void limit_turns::use_turn()
{
    if (!m_open.empty())
    {
        m_open.pop_front();
    }
}

std::optional<std::chrono::milliseconds> limit_turns::next_turn(const turn_order& order,
                                                                store_time now) const
{
    const std::uint64_t first = slot_at(now) + 1;
    for (std::uint64_t slot = first; slot < first + m_settings.m_look_ahead; ++slot)
    {
        if (order.is_own(m_upstream, slot))
        {
            return std::max(start_of(slot) - now, store_time::zero());
        }
    }
    return std::nullopt;
}

store_time limit_turns::turn_lifetime() const
{
    const std::chrono::duration<double> kept(m_settings.m_turns_kept / m_per_second);
    return m_settings.m_turn_lifetime + std::chrono::duration_cast<store_time>(kept);
}

std::uint64_t limit_turns::slot_at(store_time time) const
{
    const std::chrono::duration<double> seconds = std::max(time, store_time::zero());
    return static_cast<std::uint64_t>(std::floor(seconds.count() * m_per_second));
}

/// Rounded up, so that a slot has begun at its start.
store_time limit_turns::start_of(std::uint64_t slot) const
{
    const double seconds = static_cast<double>(slot) / m_per_second;
    return store_time(static_cast<std::int64_t>(std::ceil(seconds * 1e3)));
}

} // namespace tarragontrail::relay
