#include "tarragontrail/membership/restart_plan.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::membership {

restart_plan::restart_plan(const restart_plan_settings& settings, const std::vector<need_id>& needs,
                           std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{
    for (const need_id need : needs)
    {
        m_needs.push_back({need, false, 0, {}});
    }
}

void restart_plan::start(core::time_point now)
{
    for (progress& each : m_needs)
    {
        each.m_next_at = now + jitter();
    }
}

void restart_plan::set_peers(std::vector<core::instance_id> peers)
{
    m_peers = std::move(peers);
}

void restart_plan::on_fetched(need_id need)
{
    for (progress& each : m_needs)
    {
        each.m_done = each.m_done || each.m_need == need;
    }
}

void restart_plan::on_fetch_failed(need_id need, std::uint64_t attempt, core::time_point now)
{
    for (progress& each : m_needs)
    {
        if (each.m_need == need && each.m_attempt == attempt)
        {
            each.m_next_at = std::min(each.m_next_at, now + jitter());
        }
    }
}

void restart_plan::on_timer(core::time_point now)
{
    for (progress& each : m_needs)
    {
        if (each.m_done || each.m_next_at > now)
        {
            continue;
        }
        ++each.m_attempt;
        each.m_next_at = now + m_settings.m_attempt_timeout + jitter();

        // Every so many peers the store is asked, which also serves a fleet that is all fresh.
        const bool asks_store = each.m_attempt % (m_settings.m_peers_before_store + 1) == 0;
        if (m_peers.empty() || asks_store)
        {
            m_actions.emplace_back(fetch_from_store{each.m_need, each.m_attempt});
            continue;
        }
        const core::instance_id peer = m_peers[m_random.below(m_peers.size())];
        m_actions.emplace_back(fetch_from_peer{each.m_need, peer, each.m_attempt});
    }
}

service_level restart_plan::level(bool keys_vouched) const noexcept
{
    if (!keys_vouched)
    {
        return service_level::open_routes;
    }
    const bool complete = std::all_of(m_needs.begin(), m_needs.end(),
                                      [](const progress& each) { return each.m_done; });
    return complete ? service_level::complete : service_level::keyed_routes;
}

bool restart_plan::begin_serving() noexcept
{
    if (m_serving >= m_settings.m_max_served)
    {
        return false;
    }
    ++m_serving;
    return true;
}

void restart_plan::end_serving()
{
    TARRAGONTRAIL_INVARIANT(m_serving > 0, "a served fetch ends once");
    --m_serving;
}

std::vector<restart_plan::action> restart_plan::take_actions()
{
    return std::exchange(m_actions, {});
}

std::optional<core::time_point> restart_plan::next_deadline() const
{
    std::optional<core::time_point> next;
    for (const progress& each : m_needs)
    {
        if (!each.m_done)
        {
            next = next ? std::min(*next, each.m_next_at) : each.m_next_at;
        }
    }
    return next;
}

core::duration restart_plan::jitter()
{
    const auto longest = core::duration(m_settings.m_jitter);
    return core::duration(static_cast<core::duration::rep>(
        m_random.below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

} // namespace tarragontrail::membership
