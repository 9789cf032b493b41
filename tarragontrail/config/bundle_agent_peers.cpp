// Part of bundle_agent that exchanges freshness and withdrawals with peers.
#include "tarragontrail/config/bundle_agent.hpp"

#include <algorithm>

namespace tarragontrail::config {

void bundle_agent::on_peer_freshness(const freshness_word& status,
                                     std::optional<core::time_point> requested_at,
                                     core::time_point now)
{
    m_fetcher.record_peer_version(status.m_sender, status.m_applied_version);
    const bool holds_all = status.m_head_revision <= m_head_revision &&
                           status.m_withdrawals_hash == m_keys.withdrawals().hash();
    if (!holds_all)
    {
        request_state(status.m_sender, now);
        return;
    }
    if (requested_at && *requested_at >= m_last_withdrawal_at)
    {
        record_informed_domain(status.m_domain);
    }
    if (requested_at && has_target_applied())
    {
        m_keys.freshness().on_peer_freshness(status, *requested_at);
    }
}

void bundle_agent::on_state_request(const state_request& request, core::time_point now)
{
    state_answer answer{request.m_sequence, make_freshness_word(now), m_head_text,
                        m_keys.withdrawals().all()};
    m_actions.emplace_back(send_state_answer{request.m_sender, std::move(answer)});
}

void bundle_agent::on_state_answer(const state_answer& answer, core::time_point now)
{
    m_fetcher.record_peer_version(answer.m_word.m_sender, answer.m_word.m_applied_version);
    if (answer.m_word.m_head_revision > m_head_revision)
    {
        adopt_head(answer.m_head_row, answer.m_word.m_head_revision, now);
    }
    for (const withdrawal& each : answer.m_withdrawals)
    {
        merge_withdrawal(each, true, now);
    }
    if (answer.m_sequence == m_state_request_sequence && has_target_applied())
    {
        m_keys.freshness().on_peer_freshness(answer.m_word, m_state_requested_at);
    }
}

void bundle_agent::on_withdrawal(const withdrawal& received, core::time_point now)
{
    merge_withdrawal(received, false, now);
}

void bundle_agent::withdraw(key_prefix key, core::time_point now)
{
    merge_withdrawal(m_keys.make_withdrawal(key), true, now);
    m_last_withdrawal_at = now;
    m_informed_domains.clear();
    if (m_persist_at)
    {
        m_persist_at = now;
    }
}

void bundle_agent::record_informed_domain(core::failure_domain_id domain)
{
    if (std::find(m_informed_domains.begin(), m_informed_domains.end(), domain) ==
        m_informed_domains.end())
    {
        m_informed_domains.push_back(domain);
    }
}

withdrawal_propagation bundle_agent::propagation() const
{
    if (withdrawals_persisted())
    {
        return withdrawal_propagation::in_table;
    }
    const std::vector<core::failure_domain_id> listed = m_keys.freshness().listed_domains();
    const bool all = std::all_of(listed.begin(), listed.end(), [this](auto domain) {
        return std::find(m_informed_domains.begin(), m_informed_domains.end(), domain) !=
               m_informed_domains.end();
    });
    return all && !listed.empty() ? withdrawal_propagation::on_peers
                                  : withdrawal_propagation::pending;
}

void bundle_agent::set_members(const std::vector<core::instance_id>& members)
{
    m_fetcher.retain_peers(members);
}

freshness_word bundle_agent::make_freshness_word(core::time_point now) const
{
    freshness_word status;
    status.m_sender = m_self;
    status.m_domain = core::id_of<core::failure_domain_id>(m_failure_domain);
    status.m_head_revision = m_head_revision;
    status.m_withdrawals_hash = m_keys.withdrawals().hash();
    status.m_applied_version = applied_version();
    m_keys.freshness().fill_ages(status, now);
    return status;
}

bool bundle_agent::withdrawals_persisted() const
{
    const std::vector<withdrawal>& held = m_keys.withdrawals().all();
    return std::all_of(held.begin(), held.end(),
                       [this](const withdrawal& each) { return is_persisted(each); });
}

void bundle_agent::merge_withdrawal(const withdrawal& received, bool gossip, core::time_point now)
{
    if (!m_keys.withdraw(received))
    {
        return;
    }
    if (gossip)
    {
        m_actions.emplace_back(gossip_withdrawal{received});
    }
    schedule_persist(m_settings.m_max_persist_delay, now);
}

bool bundle_agent::is_persisted(const withdrawal& held) const
{
    return m_head && std::any_of(m_head->m_withdrawals.begin(), m_head->m_withdrawals.end(),
                                 [&](const withdrawal& each) {
                                     return prefix_of(each) == prefix_of(held) &&
                                            each.m_bundle_version >= held.m_bundle_version;
                                 });
}

void bundle_agent::schedule_persist(core::duration max_duration, core::time_point now)
{
    if (withdrawals_persisted())
    {
        m_persist_at.reset();
        return;
    }
    if (!m_persist_at || *m_persist_at <= now)
    {
        m_persist_at = now + random_duration(max_duration);
    }
}

void bundle_agent::persist_withdrawals(core::time_point now)
{
    m_persist_at.reset();
    if (m_pending_write || withdrawals_persisted())
    {
        return;
    }
    if (!has_target_applied())
    {
        schedule_persist(m_settings.m_max_persist_delay, now);
        return;
    }
    head_row row = *m_head;
    for (const withdrawal& each : m_keys.withdrawals().all())
    {
        if (is_persisted(each))
        {
            continue;
        }
        std::erase_if(row.m_withdrawals,
                      [&](const withdrawal& old) { return prefix_of(old) == prefix_of(each); });
        row.m_withdrawals.push_back(each);
    }
    row.m_history.add(m_head_revision, m_random());
    m_pending_write = make_pending_call(now, serialize_head_row(row));
    m_actions.emplace_back(table_write{m_pending_write->m_operation, head_table, head_key,
                                       m_head_revision, m_pending_write->m_object_or_row_text});
}

void bundle_agent::request_state(core::instance_id peer, core::time_point now)
{
    if (now < m_next_state_request_at)
    {
        return;
    }
    m_next_state_request_at = now + m_settings.m_state_request_interval;
    m_state_requested_at = now;
    m_actions.emplace_back(send_state_request{peer, {m_self, ++m_state_request_sequence}});
}

} // namespace tarragontrail::config
