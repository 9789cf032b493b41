#include "tarragontrail/limits/admission_request.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::limits {

std::uint64_t admission_request::missing() const
{
    std::uint64_t held = m_own_tokens;
    for (const received_loan& part : m_loans)
    {
        held += part.m_amount;
    }
    return m_charge - std::min(m_charge, held);
}

contacted_lender* admission_request::find_contacted(core::instance_id lender)
{
    const auto found =
        std::find_if(m_contacted.begin(), m_contacted.end(),
                     [&](const contacted_lender& each) { return each.m_lender == lender; });
    return found == m_contacted.end() ? nullptr : &*found;
}

void admission_request::add_loan_request(core::instance_id lender, std::uint64_t loan_id,
                                         std::uint64_t amount)
{
    m_open_amount += amount;
    ++m_open_loan_requests;
    contacted_lender* before = find_contacted(lender);
    if (before != nullptr)
    {
        *before = {lender, loan_id, true, false};
        return;
    }
    m_contacted.push_back({lender, loan_id, false, false});
}

void admission_request::close_loan_request(std::uint64_t amount)
{
    TARRAGONTRAIL_INVARIANT(m_open_loan_requests > 0 && m_open_amount >= amount,
                            "limits.open_asks_not_negative");
    --m_open_loan_requests;
    m_open_amount -= amount;
}

} // namespace tarragontrail::limits
