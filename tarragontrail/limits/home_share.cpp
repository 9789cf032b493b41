#include "tarragontrail/limits/home_share.hpp"

#include <algorithm>

namespace tarragontrail::limits {
namespace {

/// Rounds up to whole milliseconds; zero for an infinite wait.
std::chrono::milliseconds retry_after(core::duration wait)
{
    if (wait == core::duration::max())
    {
        return std::chrono::milliseconds::zero();
    }
    return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

} // namespace

void home_share::advance(const limit_settings& settings, core::time_point now)
{
    // The bucket is refilled up to the expiry first, because the room of a loan is free only from
    // then on.
    while (!m_expiries.empty() && m_expiries.front().m_due <= now)
    {
        const loan_timer due = m_expiries.front();
        m_expiries.pop_front();
        m_bucket.refill(due.m_due);
        expire_loan(due, settings);
    }
    while (!m_erasures.empty() && m_erasures.front().m_due <= now)
    {
        m_loans.erase(m_erasures.front().m_key);
        m_erasures.pop_front();
    }
    m_bucket.refill(now);
}

loan_reply home_share::lend(core::instance_id borrower, const loan_request& request,
                            const limit_settings& settings, core::time_point now)
{
    advance(settings, now);
    loan_reply reply{request.m_loan_id, request.m_workspace, false, 0, m_bucket.balance(), {}};
    if (!is_usable(now))
    {
        reply.m_retry_after = retry_after(m_usable_at - now);
        return reply;
    }

    // A repeated request gets the recorded answer.
    const loan_key key{borrower, request.m_loan_id};
    const auto known = m_loans.find(key);
    if (known != m_loans.end())
    {
        reply.m_granted = known->second.m_state == loan_state::reserved;
        reply.m_amount = reply.m_granted ? known->second.m_amount : 0;
        return reply;
    }

    reply.m_amount = m_bucket.reserve(request.m_amount);
    reply.m_left = m_bucket.balance();
    reply.m_granted = reply.m_amount > 0;
    if (reply.m_granted)
    {
        m_loans.emplace(key, loan{reply.m_amount, 0, loan_state::reserved});
        m_expiries.push_back({now + settings.m_loan_lifetime, key});
    }
    if (reply.m_amount < request.m_amount)
    {
        reply.m_retry_after = retry_after(m_bucket.time_until(request.m_amount - reply.m_amount));
    }
    return reply;
}

void home_share::settle(core::instance_id borrower, const loan_settle& message,
                        const limit_settings& settings, core::time_point now)
{
    advance(settings, now);
    const loan_key key{borrower, message.m_loan_id};
    const auto found = m_loans.find(key);
    if (found == m_loans.end())
    {
        // The settlement overtook its loan request, which must not be granted any more.
        m_loans.emplace(key, loan{0, 0, loan_state::settled});
        m_expiries.push_back({now + settings.m_loan_lifetime, key});
        return;
    }

    loan& ended = found->second;
    const std::uint64_t used = std::min(message.m_used, ended.m_amount);
    if (ended.m_state == loan_state::reserved)
    {
        m_bucket.consume_reserved(used);
        m_bucket.release_reserved(ended.m_amount - used);
    }
    else if (ended.m_state == loan_state::spent)
    {
        m_bucket.refund(ended.m_amount - used, ended.m_refund_mark);
    }
    ended.m_state = loan_state::settled;
}

void home_share::expire_loan(const loan_timer& due, const limit_settings& settings)
{
    const auto found = m_loans.find(due.m_key);
    if (found == m_loans.end())
    {
        return;
    }
    loan& expired = found->second;
    if (expired.m_state == loan_state::settled)
    {
        m_loans.erase(found);
        return;
    }
    m_bucket.consume_reserved(expired.m_amount);
    expired.m_refund_mark = m_bucket.mark();
    expired.m_state = loan_state::spent;
    m_erasures.push_back({due.m_due + settings.m_refund_period, due.m_key});
}

} // namespace tarragontrail::limits
