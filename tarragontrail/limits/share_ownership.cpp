#include "tarragontrail/limits/share_ownership.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::limits {

void share_ownership::set_genesis(std::vector<member> members)
{
    TARRAGONTRAIL_INVARIANT(m_genesis.empty() || m_genesis == members, "limits.genesis_is_fixed");
    m_genesis = std::move(members);
    for (auto& [workspace, state] : m_tracked)
    {
        if (state.m_row.m_version == 0)
        {
            state.m_row = genesis_row(workspace);
            m_changed.push_back(workspace);
        }
    }
}

void share_ownership::set_members(std::vector<member> members, core::time_point now)
{
    if (m_members == members)
    {
        return;
    }
    m_members = std::move(members);
    update_all(now);
}

void share_ownership::set_listed_instances(const std::vector<core::instance_id>& listed,
                                           core::time_point requested_at, core::time_point now)
{
    if (m_list_requested_at && requested_at < *m_list_requested_at)
    {
        return;
    }
    const std::unordered_set<core::instance_id> before =
        std::exchange(m_listed_instances, {listed.begin(), listed.end()});
    m_list_requested_at = requested_at;
    std::erase_if(m_absent_since,
                  [&](const auto& each) { return m_listed_instances.contains(each.first); });
    if (before != m_listed_instances)
    {
        update_all(now);
    }
}

void share_ownership::on_rows_loaded(core::time_point now)
{
    if (m_rows_loaded)
    {
        return;
    }
    m_rows_loaded = true;
    for (const auto& [workspace, state] : m_tracked)
    {
        m_changed.push_back(workspace);
    }
    update_all(now);
}

void share_ownership::track(core::workspace_id workspace, core::time_point now)
{
    const auto [place, added] = m_tracked.try_emplace(workspace);
    if (!added)
    {
        return;
    }
    place->second.m_row = genesis_row(workspace);
    m_changed.push_back(workspace);
    update_ownership(place->second, now);
}

void share_ownership::untrack(core::workspace_id workspace)
{
    m_tracked.erase(workspace);
    m_next_checks.erase(workspace);
}

void share_ownership::on_row(const share_row& row, core::time_point now)
{
    apply_row(row, true, now);
}

void share_ownership::on_row_missing(core::workspace_id workspace, core::time_point now)
{
    apply_row({workspace, 0, {}}, true, now);
}

void share_ownership::learn_row(const share_row& row, core::time_point now)
{
    apply_row(row, false, now);
}

void share_ownership::refresh(core::workspace_id workspace, core::time_point now)
{
    const auto found = m_tracked.find(workspace);
    if (found == m_tracked.end() || found->second.m_is_awaiting_answer)
    {
        return;
    }
    found->second.m_is_awaiting_answer = true;
    m_next_checks[workspace] = now + m_settings.m_row_timeout;
    m_actions.emplace_back(read_share_row{workspace});
}

std::optional<core::time_point> share_ownership::next_deadline() const
{
    std::optional<core::time_point> earliest;
    for (const auto& [workspace, due] : m_next_checks)
    {
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

void share_ownership::on_timer(core::time_point now)
{
    std::vector<core::workspace_id> ready;
    for (const auto& [workspace, due] : m_next_checks)
    {
        if (due <= now)
        {
            ready.push_back(workspace);
        }
    }
    std::sort(ready.begin(), ready.end());
    for (const core::workspace_id workspace : ready)
    {
        m_next_checks.erase(workspace);
        tracked_workspace& state = m_tracked.at(workspace);

        // The answer was lost or is late, so read the row to learn whether the write took effect.
        if (std::exchange(state.m_is_awaiting_answer, false))
        {
            refresh(workspace, now);
            continue;
        }
        update_ownership(state, now);
    }
}

const share_row* share_ownership::find_row(core::workspace_id workspace) const
{
    const auto found = m_tracked.find(workspace);
    return found == m_tracked.end() ? nullptr : &found->second.m_row;
}

bool share_ownership::may_start_using(const share_slot& slot) const
{
    return m_rows_loaded && slot.m_holder == m_self && slot.m_claimant == core::instance_id{};
}

bool share_ownership::is_confirmed_dead(core::instance_id instance) const
{
    const auto absent = m_absent_since.find(instance);
    return absent != m_absent_since.end() && m_list_requested_at &&
           *m_list_requested_at - absent->second >= takeover_delay();
}

core::duration share_ownership::takeover_delay() const
{
    return 2 * m_settings.m_list_lag + m_settings.m_loan_lifetime;
}

void share_ownership::apply_row(const share_row& row, bool is_answer, core::time_point now)
{
    const auto found = m_tracked.find(row.m_workspace);
    if (found == m_tracked.end())
    {
        return;
    }
    tracked_workspace& state = found->second;
    state.m_is_awaiting_answer = state.m_is_awaiting_answer && !is_answer;
    adopt_row(state, row, now);
    update_ownership(state, now);
}

void share_ownership::adopt_row(tracked_workspace& state, const share_row& row,
                                core::time_point now)
{
    if (row.m_version <= state.m_row.m_version)
    {
        return;
    }
    state.m_row = row;
    m_changed.push_back(row.m_workspace);

    // Every new version of the row restarts the wait of this instance's claims.
    const bool claims =
        std::any_of(row.m_slots.begin(), row.m_slots.end(),
                    [&](const share_slot& slot) { return slot.m_claimant == m_self; });
    state.m_claimed_at = claims ? std::optional(now) : std::nullopt;
}

void share_ownership::update_all(core::time_point now)
{
    for (auto& [workspace, state] : m_tracked)
    {
        update_ownership(state, now);
    }
}

void share_ownership::update_ownership(tracked_workspace& state, core::time_point now)
{
    if (state.m_is_awaiting_answer || !m_rows_loaded || !m_list_requested_at)
    {
        return;
    }
    for (std::size_t index = 0; index < state.m_row.m_slots.size(); ++index)
    {
        const std::optional<share_slot> next = next_slot_state(state, index, now);
        if (!next)
        {
            continue;
        }
        write_slot(state, index, *next, now);
        return;
    }
}

std::optional<share_slot> share_ownership::next_slot_state(const tracked_workspace& state,
                                                           std::size_t index, core::time_point now)
{
    const share_slot& slot = state.m_row.m_slots[index];
    const bool is_claimed = slot.m_claimant != core::instance_id{};

    // An instance that is alive cancels claims on its own shares.
    if (slot.m_holder == m_self)
    {
        return is_claimed ? std::optional(share_slot{m_self, {}}) : std::nullopt;
    }
    if (is_listed(slot.m_holder))
    {
        return std::nullopt;
    }
    const core::time_point absent_since =
        m_absent_since.try_emplace(slot.m_holder, *m_list_requested_at).first->second;
    if (slot.m_claimant != m_self && *m_list_requested_at - absent_since >= m_settings.m_list_lag)
    {
        return claim_slot(state, index);
    }
    m_next_checks[state.m_row.m_workspace] = now + m_settings.m_row_timeout;
    if (slot.m_claimant != m_self)
    {
        return std::nullopt;
    }

    // The holder must have been missing from the list during the whole takeover delay, counted from
    // the claim on.
    const core::time_point from = std::max(absent_since, state.m_claimed_at.value_or(now));
    if (*m_list_requested_at - from >= takeover_delay())
    {
        return share_slot{m_self, {}};
    }
    m_next_checks[state.m_row.m_workspace] = now + m_settings.m_row_timeout;
    return std::nullopt;
}

std::optional<share_slot> share_ownership::claim_slot(const tracked_workspace& state,
                                                      std::size_t index) const
{
    const share_slot& slot = state.m_row.m_slots[index];
    if (slot.m_claimant != core::instance_id{} && is_listed(slot.m_claimant))
    {
        return std::nullopt;
    }
    std::vector<member> candidates = m_members;
    std::erase_if(candidates, [&](const member& each) { return !is_listed(each.m_instance); });
    share_row unclaimed = state.m_row;
    unclaimed.m_slots[index].m_claimant = {};
    if (successor_of(unclaimed, index, candidates) != m_self)
    {
        return std::nullopt;
    }
    return share_slot{slot.m_holder, m_self};
}

void share_ownership::write_slot(tracked_workspace& state, std::size_t index,
                                 const share_slot& slot, core::time_point now)
{
    write_share_row request{state.m_row, state.m_row.m_version};
    request.m_row.m_slots[index] = slot;
    ++request.m_row.m_version;
    state.m_is_awaiting_answer = true;
    m_next_checks[state.m_row.m_workspace] = now + m_settings.m_row_timeout;
    m_actions.emplace_back(std::move(request));
}

share_row share_ownership::genesis_row(core::workspace_id workspace) const
{
    share_row row{workspace, 0, {}};
    for (const core::instance_id home : homes_of(workspace, m_genesis, m_settings.m_home_count))
    {
        row.m_slots.push_back({home, {}});
    }
    return row;
}

} // namespace tarragontrail::limits
