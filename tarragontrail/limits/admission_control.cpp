#include "tarragontrail/limits/admission_control.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::limits {

admission_control::admission_control(const limit_settings& settings, core::instance_id self,
                                     std::uint64_t loan_seed)
    : m_settings(settings), m_self(self), m_ownership(settings, self), m_loan_requests(loan_seed)
{}

void admission_control::set_genesis(std::vector<member> members, core::time_point now)
{
    m_ownership.set_genesis(std::move(members));
    apply_ownership_changes(now);
}

void admission_control::set_view(const std::vector<member>& members, core::view_number view,
                                 core::time_point now)
{
    if (view < m_view)
    {
        return;
    }
    m_view = view;
    m_ownership.set_members(members, now);
    apply_ownership_changes(now);
}

void admission_control::set_listed_instances(const std::vector<core::instance_id>& listed,
                                             core::time_point requested_at, core::time_point now)
{
    m_ownership.set_listed_instances(listed, requested_at, now);
    apply_ownership_changes(now);
}

void admission_control::on_rows_loaded(core::time_point now)
{
    m_ownership.on_rows_loaded(now);
    apply_ownership_changes(now);
}

void admission_control::on_share_row(const share_row& row, core::time_point now)
{
    m_ownership.on_row(row, now);
    apply_ownership_changes(now);
}

void admission_control::on_share_row_missing(core::workspace_id workspace, core::time_point now)
{
    m_ownership.on_row_missing(workspace, now);
    apply_ownership_changes(now);
}

void admission_control::learn_share_row(const share_row& row, core::time_point now)
{
    m_ownership.learn_row(row, now);
    apply_ownership_changes(now);
}

void admission_control::set_limit(core::workspace_id workspace, std::uint64_t tokens_per_second,
                                  std::uint64_t burst_tokens, std::uint64_t limit_epoch,
                                  core::time_point now)
{
    const workspace_quota quota{
        {std::min(tokens_per_second, max_limit_tokens) * micro_tokens_per_token,
         std::min(burst_tokens, max_limit_tokens) * micro_tokens_per_token},
        limit_epoch};
    const auto [place, added] = m_limits.try_emplace(workspace, quota);
    if (added)
    {
        m_ownership.track(workspace, now);
        apply_ownership_changes(now);
        return;
    }
    place->second.set_quota(quota, make_context(*m_ownership.find_row(workspace), now));
}

void admission_control::remove_workspace(core::workspace_id workspace, core::time_point now)
{
    end_workspace_requests(workspace, now);
    m_limits.erase(workspace);
    m_held_workspaces.erase(workspace);
    m_ownership.untrack(workspace);
}

void admission_control::admit(core::request_id request, core::workspace_id workspace,
                              std::uint64_t charge_tokens, core::time_point deadline,
                              core::time_point now)
{
    workspace_limit* limit = find_limit(workspace);
    if (limit == nullptr)
    {
        refuse(request, refusal_reason::unknown_workspace, {});
        return;
    }
    if (charge_tokens > limit->quota().m_limit.m_burst / micro_tokens_per_token)
    {
        refuse(request, refusal_reason::above_burst, {});
        return;
    }
    if (deadline <= now)
    {
        refuse(request, refusal_reason::deadline_expired, {});
        return;
    }
    const auto [place, added] = m_requests.try_emplace(request);
    if (!added)
    {
        return;
    }

    // The local share covers what it can; the rest is borrowed.
    admission_request& state = place->second;
    state.m_workspace = workspace;
    state.m_charge = charge_tokens * micro_tokens_per_token;
    state.m_deadline = deadline;
    if (home_share* share = limit->usable_share(m_settings, now))
    {
        state.m_own_tokens = share->bucket().reserve(state.m_charge);
        state.m_own_share_generation = limit->share_generation();
    }
    gather_charge(place, now);
}

void admission_control::settle(core::request_id request, std::uint64_t used_tokens,
                               core::time_point now)
{
    const auto place = m_requests.find(request);
    if (place == m_requests.end() || !place->second.m_is_admitted)
    {
        return;
    }
    admission_request& state = place->second;
    const std::uint64_t charged = state.m_charge / micro_tokens_per_token;
    const std::uint64_t used = std::min(used_tokens, charged) * micro_tokens_per_token;
    refund(state, state.m_charge - used, now);
    m_requests.erase(place);
}

void admission_control::cancel(core::request_id request, core::time_point now)
{
    settle(request, 0, now);
    const auto place = m_requests.find(request);
    if (place != m_requests.end())
    {
        release_tokens(place->second);
        m_requests.erase(place);
    }
}

void admission_control::on_loan_request(core::instance_id from, const loan_request& message,
                                        core::time_point now)
{
    home_share* share = find_share(message.m_workspace);
    const loan_reply nothing{message.m_loan_id, message.m_workspace, false, 0, 0, {}};
    m_actions.emplace_back(send_to<loan_reply>{
        from, share == nullptr ? nothing : share->lend(from, message, m_settings, now)});
}

void admission_control::on_loan_settle(core::instance_id from, const loan_settle& message,
                                       core::time_point now)
{
    home_share* share = find_share(message.m_workspace);
    if (share != nullptr)
    {
        share->settle(from, message, m_settings, now);
    }
}

void admission_control::on_share_hint(core::instance_id from, const share_hint& message,
                                      core::time_point now)
{
    workspace_limit* limit = find_limit(message.m_workspace);
    if (limit == nullptr)
    {
        return;
    }
    const share_row& row = *m_ownership.find_row(message.m_workspace);
    limit->on_hint(from, message, make_context(row, now));

    // A hint from an instance that is no holder in the known row means that the row is outdated.
    const bool is_named =
        std::any_of(row.m_slots.begin(), row.m_slots.end(),
                    [&](const share_slot& slot) { return slot.m_holder == from; });
    if (!is_named)
    {
        m_ownership.refresh(message.m_workspace, now);
    }
}

std::optional<core::time_point> admission_control::next_deadline() const
{
    std::optional<core::time_point> earliest = m_ownership.next_deadline();
    const auto consider = [&](core::time_point due) {
        earliest = earliest ? std::min(*earliest, due) : due;
    };
    if (const auto due = m_loan_requests.next_deadline())
    {
        consider(*due);
    }
    if (!m_held_workspaces.empty())
    {
        consider(m_next_hint_round);
    }
    return earliest;
}

void admission_control::on_timer(core::time_point now)
{
    m_ownership.on_timer(now);
    apply_ownership_changes(now);
    time_out_loan_requests(now);
    if (now >= m_next_hint_round)
    {
        m_next_hint_round = now + m_settings.m_hint_interval;
        send_hints(now);
    }
}

std::vector<action> admission_control::take_actions()
{
    std::vector<action> taken = std::exchange(m_actions, {});
    for (action& each : m_ownership.take_actions())
    {
        taken.push_back(std::move(each));
    }
    return taken;
}

const workspace_limit* admission_control::find(core::workspace_id workspace) const
{
    const auto found = m_limits.find(workspace);
    return found == m_limits.end() ? nullptr : &found->second;
}

limit_context admission_control::make_context(const share_row& row, core::time_point now) const
{
    return {m_settings, m_ownership, row, now};
}

workspace_limit* admission_control::find_limit(core::workspace_id workspace)
{
    const auto found = m_limits.find(workspace);
    return found == m_limits.end() ? nullptr : &found->second;
}

home_share* admission_control::find_share(core::workspace_id workspace)
{
    workspace_limit* limit = find_limit(workspace);
    return limit == nullptr ? nullptr : limit->share();
}

void admission_control::apply_ownership_changes(core::time_point now)
{
    for (const core::workspace_id workspace : m_ownership.take_changed())
    {
        m_held_workspaces.erase(workspace);
        workspace_limit* limit = find_limit(workspace);
        const share_row* row = m_ownership.find_row(workspace);
        if (limit == nullptr || row == nullptr)
        {
            continue;
        }
        limit->set_row(make_context(*row, now));
        if (limit->share() != nullptr)
        {
            m_held_workspaces.insert(workspace);
        }
    }
}

void admission_control::refuse(core::request_id request, refusal_reason reason,
                               std::chrono::milliseconds retry_after)
{
    ++m_counts.m_refused;
    m_actions.emplace_back(refused{request, reason, retry_after});
}

void admission_control::send_hints(core::time_point now)
{
    for (const core::workspace_id workspace : m_held_workspaces)
    {
        workspace_limit& limit = m_limits.at(workspace);
        if (!limit.needs_hint(m_settings, now))
        {
            continue;
        }
        const share_row& row = *m_ownership.find_row(workspace);
        const share_hint hint = limit.make_hint(workspace, m_view, now);
        for (const lender& other : limit.lenders(make_context(row, now)).homes())
        {
            m_actions.emplace_back(send_to<share_hint>{other.m_instance, hint});
        }
    }
}

} // namespace tarragontrail::limits
