#include "tarragontrail/limits/workspace_limit.hpp"

#include <algorithm>

namespace tarragontrail::limits {
namespace {

/// Number of hint intervals after which an unchanged hint is repeated.
constexpr int hint_repeat_rounds = 10;

bucket_limit smaller_of(const bucket_limit& left, const bucket_limit& right)
{
    return {std::min(left.m_rate, right.m_rate), std::min(left.m_burst, right.m_burst)};
}

std::uint64_t distance(std::uint64_t left, std::uint64_t right)
{
    return left > right ? left - right : right - left;
}

} // namespace

void workspace_limit::set_quota(const workspace_quota& quota, const limit_context& context)
{
    if (quota.m_epoch <= m_quota.m_epoch)
    {
        return;
    }
    m_quota = quota;
    if (m_lenders)
    {
        m_lenders->set_homes(context.m_row, m_quota.m_limit, context.m_ownership.self());
    }
    apply_share_limit(context);
}

void workspace_limit::set_row(const limit_context& context)
{
    const share_row& row = context.m_row;
    const core::instance_id self = context.m_ownership.self();
    if (m_lenders)
    {
        m_lenders->set_homes(row, m_quota.m_limit, self);
    }
    const auto slot = std::find_if(row.m_slots.begin(), row.m_slots.end(),
                                   [&](const share_slot& each) { return each.m_holder == self; });
    if (slot == row.m_slots.end())
    {
        m_held_share.reset();
        return;
    }

    // A share is gained empty, and only if no other instance claims it.
    const auto index = static_cast<std::size_t>(slot - row.m_slots.begin());
    const bool holds_it = m_held_share && m_held_share->m_index == index;
    if (!holds_it && !context.m_ownership.may_start_using(*slot))
    {
        m_held_share.reset();
        return;
    }
    if (!holds_it)
    {
        const core::time_point usable_at = context.m_now + context.m_settings.m_loan_lifetime;
        const bucket_limit part = limit_of_share(m_quota.m_limit, index, row.m_slots.size());
        m_held_share = std::make_unique<held_share>(
            held_share{home_share(part, usable_at), index, row.m_slots.size(), {}, 0, 0, {}});
        ++m_generation;
    }
    update_peer_epochs(context);
    apply_share_limit(context);
}

void workspace_limit::on_hint(core::instance_id from, const share_hint& hint,
                              const limit_context& context)
{
    lenders(context).record_balance(from, hint.m_left, context.m_now);
    if (!m_held_share)
    {
        return;
    }
    for (peer_epoch& peer : m_held_share->m_peer_epochs)
    {
        if (peer.m_holder != from || peer.m_epoch >= hint.m_limit_epoch)
        {
            continue;
        }
        peer.m_epoch = hint.m_limit_epoch;
        apply_share_limit(context);
    }
}

home_share* workspace_limit::usable_share(const limit_settings& settings, core::time_point now)
{
    if (!m_held_share || !m_held_share->m_share.is_usable(now))
    {
        return nullptr;
    }
    m_held_share->m_share.advance(settings, now);
    return &m_held_share->m_share;
}

bool workspace_limit::needs_hint(const limit_settings& settings, core::time_point now)
{
    home_share* share = usable_share(settings, now);
    if (share == nullptr)
    {
        return false;
    }
    const std::uint64_t step =
        share->bucket().limit().m_burst / 100 * settings.m_hint_threshold_percent;
    return m_held_share->m_hinted_epoch != m_quota.m_epoch ||
           distance(m_held_share->m_hinted_balance, share->bucket().balance()) > step ||
           now - m_held_share->m_hinted_at >= hint_repeat_rounds * settings.m_hint_interval;
}

share_hint workspace_limit::make_hint(core::workspace_id workspace, core::view_number view,
                                      core::time_point now)
{
    m_held_share->m_hinted_balance = m_held_share->m_share.bucket().balance();
    m_held_share->m_hinted_epoch = m_quota.m_epoch;
    m_held_share->m_hinted_at = now;
    return {workspace, m_held_share->m_hinted_balance, m_quota.m_epoch, view};
}

lender_registry& workspace_limit::lenders(const limit_context& context)
{
    if (!m_lenders)
    {
        m_lenders = std::make_unique<lender_registry>();
        m_lenders->set_homes(context.m_row, m_quota.m_limit, context.m_ownership.self());
    }
    return *m_lenders;
}

void workspace_limit::update_peer_epochs(const limit_context& context)
{
    std::vector<peer_epoch> epochs;
    for (const share_slot& slot : context.m_row.m_slots)
    {
        if (slot.m_holder == context.m_ownership.self())
        {
            continue;
        }
        const auto known =
            std::find_if(m_held_share->m_peer_epochs.begin(), m_held_share->m_peer_epochs.end(),
                         [&](const peer_epoch& each) { return each.m_holder == slot.m_holder; });
        epochs.push_back(known == m_held_share->m_peer_epochs.end() ? peer_epoch{slot.m_holder, 0}
                                                                    : *known);
    }
    m_held_share->m_peer_epochs = std::move(epochs);
}

void workspace_limit::apply_share_limit(const limit_context& context)
{
    if (!m_held_share)
    {
        return;
    }
    const bucket_limit target =
        limit_of_share(m_quota.m_limit, m_held_share->m_index, m_held_share->m_count);
    m_held_share->m_share.advance(context.m_settings, context.m_now);
    token_bucket& bucket = m_held_share->m_share.bucket();
    if (bucket.limit() == target)
    {
        return;
    }
    const bool all_know =
        std::all_of(m_held_share->m_peer_epochs.begin(), m_held_share->m_peer_epochs.end(),
                    [&](const peer_epoch& peer) {
                        return peer.m_epoch >= m_quota.m_epoch ||
                               context.m_ownership.is_confirmed_dead(peer.m_holder);
                    });
    bucket.set_limit(all_know ? target : smaller_of(bucket.limit(), target));
}

} // namespace tarragontrail::limits
