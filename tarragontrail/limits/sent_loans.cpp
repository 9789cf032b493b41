#include "tarragontrail/limits/sent_loans.hpp"

namespace tarragontrail::limits {

std::uint64_t sent_loans::add(const sent_loan& loan, const limit_settings& settings)
{
    const std::uint64_t loan_id = m_next_id++;
    m_loans.emplace(loan_id, loan);
    m_timeouts.push_back({loan.m_asked_at + settings.m_reply_timeout, loan_id});
    return loan_id;
}

sent_loan* sent_loans::find(std::uint64_t loan_id)
{
    const auto found = m_loans.find(loan_id);
    return found == m_loans.end() ? nullptr : &found->second;
}

bool sent_loans::abandon(std::uint64_t loan_id)
{
    sent_loan* loan = find(loan_id);
    if (loan == nullptr || loan->m_state != sent_loan::state::open)
    {
        return false;
    }
    loan->m_state = sent_loan::state::abandoned;
    return true;
}

std::optional<core::time_point> sent_loans::next_deadline() const
{
    if (m_timeouts.empty())
    {
        return std::nullopt;
    }
    return m_timeouts.front().m_due;
}

std::optional<std::uint64_t> sent_loans::time_out_one(const limit_settings& settings,
                                                      core::time_point now)
{
    while (!m_timeouts.empty() && m_timeouts.front().m_due <= now)
    {
        const std::uint64_t loan_id = m_timeouts.front().m_loan_id;
        m_timeouts.pop_front();
        m_forgetting.push_back(
            {m_loans.at(loan_id).m_asked_at + settings.m_loan_lifetime, loan_id});
        if (abandon(loan_id))
        {
            return loan_id;
        }
    }
    forget(now);
    return std::nullopt;
}

void sent_loans::forget(core::time_point now)
{
    while (!m_forgetting.empty() && m_forgetting.front().m_due <= now)
    {
        m_loans.erase(m_forgetting.front().m_loan_id);
        m_forgetting.pop_front();
    }
}

} // namespace tarragontrail::limits
