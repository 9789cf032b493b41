#include "tarragontrail/placement/weights_rollout.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::placement {

std::vector<rollout_action> weights_rollout::advance(const std::vector<outdated_engine>& outdated,
                                                     std::size_t fleet, core::time_point now,
                                                     std::size_t loading_elsewhere)
{
    std::vector<rollout_action> actions;
    abandon_timed_out(actions, now);
    for (auto& [engine, update] : m_updates)
    {
        if (update.m_step == step::waiting && now >= update.m_due)
        {
            update.m_step = step::reading;
            actions.emplace_back(read_report{engine, update.m_target.m_model});
        }
    }

    // The engine with the fewest requests drains soonest and goes first. Staleness takes
    // precedence: otherwise a busy engine would never be updated while new versions keep being
    // named.
    std::vector<const outdated_engine*> waiting;
    for (const outdated_engine& candidate : outdated)
    {
        const auto running = m_updates.find(candidate.m_engine);
        if (running != m_updates.end())
        {
            // A newer version named meanwhile is loaded in the same update.
            running->second.m_target.m_version =
                std::max(running->second.m_target.m_version, candidate.m_version);
            continue;
        }
        const auto cooldown = m_cooldowns.find(candidate.m_engine);
        if (cooldown != m_cooldowns.end() && now < cooldown->second)
        {
            continue;
        }
        waiting.push_back(&candidate);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [this](const outdated_engine* left, const outdated_engine* right) {
                         const auto left_age = left->m_staleness / m_settings.m_staleness_step;
                         const auto right_age = right->m_staleness / m_settings.m_staleness_step;
                         return left_age != right_age ? left_age > right_age
                                                      : left->m_in_flight < right->m_in_flight;
                     });
    for (const outdated_engine* next : waiting)
    {
        if (m_updates.size() + loading_elsewhere >= capacity(fleet))
        {
            break;
        }
        m_updates[next->m_engine] = engine_update{*next, step::reading, now, now, false};
        actions.emplace_back(announce_engine{next->m_engine, true, next->m_model, {}});
        actions.emplace_back(read_report{next->m_engine, next->m_model});
    }
    return actions;
}

std::vector<rollout_action> weights_rollout::on_report(core::upstream_id engine,
                                                       const engine_report& report,
                                                       core::time_point now)
{
    std::vector<rollout_action> actions;
    const auto found = m_updates.find(engine);
    if (found == m_updates.end() || found->second.m_step != step::reading)
    {
        return actions;
    }
    engine_update& update = found->second;
    if (!report.m_busy && report.m_version >= update.m_target.m_version)
    {
        actions.emplace_back(
            announce_engine{engine, false, update.m_target.m_model, report.m_version});
        m_updates.erase(found);
        return actions;
    }
    if (report.m_busy)
    {
        update.m_step = step::waiting;
        update.m_due = now + m_settings.m_poll_interval;
        return actions;
    }
    update.m_step = step::ordering;
    actions.emplace_back(
        order_weights{engine, update.m_target.m_model, update.m_target.m_version, report.m_orders});
    return actions;
}

std::vector<rollout_action> weights_rollout::on_report_failed(core::upstream_id engine,
                                                              core::time_point now)
{
    const auto found = m_updates.find(engine);
    if (found == m_updates.end())
    {
        return {};
    }
    if (!found->second.m_order_possible)
    {
        // No order was given to this engine yet, so others can go first.
        return abandon_update(engine, now);
    }
    found->second.m_step = step::waiting;
    found->second.m_due = now + m_settings.m_retry_delay;
    return {};
}

std::vector<rollout_action> weights_rollout::on_order(core::upstream_id engine, order_answer answer,
                                                      core::time_point now)
{
    const auto found = m_updates.find(engine);
    if (found == m_updates.end())
    {
        return {};
    }
    engine_update& update = found->second;
    update.m_step = step::waiting;
    switch (answer)
    {
    case order_answer::accepted:
        update.m_order_possible = true;
        update.m_due = now + m_settings.m_first_poll_delay;
        return {};
    case order_answer::done:
        update.m_due = now;
        return {};
    case order_answer::lost:
        update.m_order_possible = true;
        update.m_due = now + m_settings.m_unanswered_poll_delay;
        return {};
    case order_answer::conflict:
        update.m_due = now + m_settings.m_poll_interval;
        return {};
    case order_answer::refused:
    case order_answer::fence_refused:
        break;
    }
    return abandon_update(engine, now);
}

void weights_rollout::abandon_timed_out(std::vector<rollout_action>& actions, core::time_point now)
{
    std::vector<core::upstream_id> timed_out;
    for (const auto& [engine, update] : m_updates)
    {
        if (now - update.m_started_at >= m_settings.m_update_timeout)
        {
            timed_out.push_back(engine);
        }
    }
    for (const core::upstream_id engine : timed_out)
    {
        const std::vector<rollout_action> ended = abandon_update(engine, now);
        actions.insert(actions.end(), ended.begin(), ended.end());
    }
}

std::vector<rollout_action> weights_rollout::abandon_update(core::upstream_id engine,
                                                            core::time_point now)
{
    const auto found = m_updates.find(engine);
    std::vector<rollout_action> actions;
    actions.emplace_back(announce_engine{engine, false, found->second.m_target.m_model, {}});
    m_cooldowns[engine] = now + m_settings.m_retry_delay;
    m_updates.erase(found);
    return actions;
}

std::size_t weights_rollout::capacity(std::size_t fleet) const
{
    const auto share = static_cast<std::size_t>(
        std::ceil(static_cast<double>(fleet) * m_settings.m_max_concurrent_fraction));
    return std::clamp<std::size_t>(share, 1, m_settings.m_max_concurrent);
}

} // namespace tarragontrail::placement
