#include "tarragontrail/limits/lender_book.hpp"

#include "tarragontrail/limits/home_assignment.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::limits {

void lender_book::set_homes(const share_row& row, const bucket_limit& limit, core::instance_id self)
{
    std::vector<lender> homes;
    for (std::size_t index = 0; index < row.m_slots.size(); ++index)
    {
        const core::instance_id holder = row.m_slots[index].m_holder;
        if (holder == self)
        {
            continue;
        }
        const auto known = std::find_if(m_homes.begin(), m_homes.end(), [&](const lender& each) {
            return each.m_instance == holder;
        });
        lender home = known == m_homes.end() ? lender{holder, {}, 0, {}, false} : *known;
        home.m_part = limit_of_share(limit, index, row.m_slots.size());
        homes.push_back(home);
    }
    m_homes = std::move(homes);
}

void lender_book::note(core::instance_id home, std::uint64_t left, core::time_point now)
{
    for (lender& each : m_homes)
    {
        if (each.m_instance != home)
        {
            continue;
        }
        each.m_left = left;
        each.m_heard = now;
        each.m_is_known = true;
    }
}

std::uint64_t lender_book::estimate(const lender& home, core::time_point now)
{
    if (!home.m_is_known)
    {
        return home.m_part.m_burst;
    }
    token_bucket bucket(home.m_part, home.m_heard);
    bucket.refill(now);
    return std::min(home.m_part.m_burst, home.m_left + bucket.balance());
}

bool lender_book::is_surely_dry(std::uint64_t amount, core::duration trust,
                                core::time_point now) const
{
    std::uint64_t held = 0;
    for (const lender& home : m_homes)
    {
        if (!home.m_is_known || now - home.m_heard > trust)
        {
            return false;
        }
        held += estimate(home, now);
    }
    return held < amount;
}

void lender_book::rank(const paused_lenders& paused, core::time_point now,
                       std::vector<ranked_lender>& ranked) const
{
    ranked.clear();
    for (const lender& home : m_homes)
    {
        ranked.push_back({home.m_instance, home.m_part.m_burst, estimate(home, now),
                          paused.is_paused(home.m_instance, now), false});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_lender& left, const ranked_lender& right) {
                  return std::pair(!left.m_is_paused, left.m_estimate) >
                         std::pair(!right.m_is_paused, right.m_estimate);
              });
}

bool paused_lenders::is_paused(core::instance_id instance, core::time_point now) const
{
    const auto found = m_until.find(instance);
    return found != m_until.end() && now < found->second;
}

} // namespace tarragontrail::limits
