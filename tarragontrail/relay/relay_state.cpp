#include "tarragontrail/relay/relay_state.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {

recovery::retry_budget& relay_state::budget_of(const std::string& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
    {
        return found->second;
    }
    const core::time_point now = core::runtime_clock::now();
    auto& added =
        m_budgets.emplace(service, recovery::retry_budget(m_budget_settings, m_random(), now))
            .first->second;
    added.on_instance_count(m_sharing_instances, now);
    return added;
}

store_time relay_state::shared_time() const
{
    // Counts from the start of the process, so that what others tell by the store's clock is newer.
    static const core::time_point started = core::suspension_counting_now();
    const core::time_point now = core::suspension_counting_now();
    return m_freshness.store_time_at(now).value_or(
        std::chrono::duration_cast<store_time>(now - started));
}

void relay_state::on_notice(upstream& from, const upstream_notice& notice)
{
    const core::time_point now = core::runtime_clock::now();
    const notice_effect effect = m_upstreams.on_notice(from, notice, shared_time(), now);
    if (effect.m_limit_changed)
    {
        m_metrics.count_upstream_notice("limit");
        observe::log("upstream_limit", {{"name", from.m_record.m_name},
                                        {"per_second", notice.m_requests_per_second.value_or(0)},
                                        {"from", "answer"}});
    }
    if (effect.m_leaves)
    {
        m_metrics.count_upstream_notice("leaving");
        observe::log("upstream_leaves", {{"name", from.m_record.m_name}});
    }
    if (notice.m_wait)
    {
        m_metrics.count_upstream_notice("wait");
        observe::log("upstream_waits",
                     {{"name", from.m_record.m_name}, {"wait_ms", notice.m_wait->count()}});
    }
}

std::optional<core::duration> relay_state::time_to_next_request(const std::string& service) const
{
    const core::time_point now = core::runtime_clock::now();
    std::optional<core::duration> soonest;
    for (const auto& each : m_upstreams.of_service(service))
    {
        if (each->m_leaving_since)
        {
            continue;
        }
        const auto time = each->time_to_next_request(m_turn_order, shared_time(), now);
        if (time)
        {
            soonest = std::min(soonest.value_or(*time), *time);
        }
    }
    return soonest;
}

} // namespace tarragontrail::relay
