#include "tarragontrail/limits/lender_registry.hpp"

#include "tarragontrail/limits/home_assignment.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::limits {

void lender_registry::set_homes(const share_row& row, const bucket_limit& limit,
                                core::instance_id self)
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
        home.m_limit = limit_of_share(limit, index, row.m_slots.size());
        homes.push_back(home);
    }
    m_homes = std::move(homes);
}

void lender_registry::record_balance(core::instance_id home, std::uint64_t left,
                                     core::time_point now)
{
    for (lender& each : m_homes)
    {
        if (each.m_instance != home)
        {
            continue;
        }
        each.m_reported_balance = left;
        each.m_reported_at = now;
        each.m_has_reported = true;
    }
}

std::uint64_t lender_registry::estimate_balance(const lender& home, core::time_point now)
{
    if (!home.m_has_reported)
    {
        return home.m_limit.m_burst;
    }
    token_bucket bucket(home.m_limit, home.m_reported_at);
    bucket.refill(now);
    return std::min(home.m_limit.m_burst, home.m_reported_balance + bucket.balance());
}

bool lender_registry::is_known_exhausted(std::uint64_t amount, core::duration max_age,
                                         core::time_point now) const
{
    std::uint64_t held = 0;
    for (const lender& home : m_homes)
    {
        if (!home.m_has_reported || now - home.m_reported_at > max_age)
        {
            return false;
        }
        held += estimate_balance(home, now);
    }
    return held < amount;
}

void lender_registry::rank(const lenders_in_backoff& backoff, core::time_point now,
                           std::vector<lender_candidate>& ranked) const
{
    ranked.clear();
    for (const lender& home : m_homes)
    {
        ranked.push_back({home.m_instance, home.m_limit.m_burst, estimate_balance(home, now),
                          backoff.is_in_backoff(home.m_instance, now), false});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const lender_candidate& left, const lender_candidate& right) {
                  return std::pair(!left.m_is_in_backoff, left.m_estimated_balance) >
                         std::pair(!right.m_is_in_backoff, right.m_estimated_balance);
              });
}

bool lenders_in_backoff::is_in_backoff(core::instance_id instance, core::time_point now) const
{
    const auto found = m_until.find(instance);
    return found != m_until.end() && now < found->second;
}

} // namespace tarragontrail::limits
