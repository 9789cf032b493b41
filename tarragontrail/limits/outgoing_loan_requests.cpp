#include "tarragontrail/limits/outgoing_loan_requests.hpp"

namespace tarragontrail::limits {

std::uint64_t outgoing_loan_requests::add(const outgoing_loan_request& loan,
                                          const limit_settings& settings)
{
    const std::uint64_t loan_id = m_next_id++;
    m_requests.emplace(loan_id, loan);
    m_timeouts.push_back({loan.m_requested_at + settings.m_reply_timeout, loan_id});
    return loan_id;
}

outgoing_loan_request* outgoing_loan_requests::find(std::uint64_t loan_id)
{
    const auto found = m_requests.find(loan_id);
    return found == m_requests.end() ? nullptr : &found->second;
}

bool outgoing_loan_requests::abandon(std::uint64_t loan_id)
{
    outgoing_loan_request* loan = find(loan_id);
    if (loan == nullptr || loan->m_state != outgoing_loan_request::state::open)
    {
        return false;
    }
    loan->m_state = outgoing_loan_request::state::abandoned;
    return true;
}

std::optional<core::time_point> outgoing_loan_requests::next_deadline() const
{
    if (m_timeouts.empty())
    {
        return std::nullopt;
    }
    return m_timeouts.front().m_due;
}

std::optional<std::uint64_t> outgoing_loan_requests::time_out_one(const limit_settings& settings,
                                                                  core::time_point now)
{
    while (!m_timeouts.empty() && m_timeouts.front().m_due <= now)
    {
        const std::uint64_t loan_id = m_timeouts.front().m_loan_id;
        m_timeouts.pop_front();
        m_erasures.push_back(
            {m_requests.at(loan_id).m_requested_at + settings.m_loan_lifetime, loan_id});
        if (abandon(loan_id))
        {
            return loan_id;
        }
    }
    erase_expired(now);
    return std::nullopt;
}

void outgoing_loan_requests::erase_expired(core::time_point now)
{
    while (!m_erasures.empty() && m_erasures.front().m_due <= now)
    {
        m_requests.erase(m_erasures.front().m_loan_id);
        m_erasures.pop_front();
    }
}

} // namespace tarragontrail::limits
