#include "tarragontrail/membership/bootstrap_plan.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::membership {

bootstrap_plan::bootstrap_plan(const bootstrap_plan_settings& settings,
                               const std::vector<resource_id>& resources, std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{
    for (const resource_id resource : resources)
    {
        m_resources.push_back({resource, false, 0, {}});
    }
}

void bootstrap_plan::start(core::time_point now)
{
    for (progress& each : m_resources)
    {
        each.m_next_at = now + jitter();
    }
}

void bootstrap_plan::set_peers(std::vector<core::instance_id> peers)
{
    m_peers = std::move(peers);
}

void bootstrap_plan::on_fetched(resource_id resource)
{
    for (progress& each : m_resources)
    {
        each.m_done = each.m_done || each.m_resource == resource;
    }
}

void bootstrap_plan::on_fetch_failed(resource_id resource, std::uint64_t attempt,
                                     core::time_point now)
{
    for (progress& each : m_resources)
    {
        if (each.m_resource == resource && each.m_attempt == attempt)
        {
            each.m_next_at = std::min(each.m_next_at, now + jitter());
        }
    }
}

void bootstrap_plan::on_timer(core::time_point now)
{
    for (progress& each : m_resources)
    {
        if (each.m_done || each.m_next_at > now)
        {
            continue;
        }
        ++each.m_attempt;
        each.m_next_at = now + m_settings.m_attempt_timeout + jitter();

        // The store is tried after every m_peers_before_store peers. This is the only source when
        // all instances of the fleet are new.
        const bool uses_store = each.m_attempt % (m_settings.m_peers_before_store + 1) == 0;
        if (m_peers.empty() || uses_store)
        {
            m_actions.emplace_back(fetch_from_store{each.m_resource, each.m_attempt});
            continue;
        }
        const core::instance_id peer = m_peers[m_random.below(m_peers.size())];
        m_actions.emplace_back(fetch_from_peer{each.m_resource, peer, each.m_attempt});
    }
}

service_level bootstrap_plan::level(bool keys_confirmed) const noexcept
{
    if (!keys_confirmed)
    {
        return service_level::open_routes;
    }
    const bool complete = std::all_of(m_resources.begin(), m_resources.end(),
                                      [](const progress& each) { return each.m_done; });
    return complete ? service_level::complete : service_level::keyed_routes;
}

bool bootstrap_plan::begin_peer_fetch() noexcept
{
    if (m_active_peer_fetches >= m_settings.m_max_peer_fetches)
    {
        return false;
    }
    ++m_active_peer_fetches;
    return true;
}

void bootstrap_plan::end_peer_fetch()
{
    TARRAGONTRAIL_INVARIANT(m_active_peer_fetches > 0,
                            "end_peer_fetch() is called once for each begin_peer_fetch()");
    --m_active_peer_fetches;
}

std::vector<bootstrap_plan::action> bootstrap_plan::take_actions()
{
    return std::exchange(m_actions, {});
}

std::optional<core::time_point> bootstrap_plan::next_deadline() const
{
    std::optional<core::time_point> next;
    for (const progress& each : m_resources)
    {
        if (!each.m_done)
        {
            next = next ? std::min(*next, each.m_next_at) : each.m_next_at;
        }
    }
    return next;
}

core::duration bootstrap_plan::jitter()
{
    const auto longest = core::duration(m_settings.m_max_jitter);
    return core::duration(static_cast<core::duration::rep>(
        m_random.below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

} // namespace tarragontrail::membership
