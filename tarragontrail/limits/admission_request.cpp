#include "tarragontrail/limits/admission_request.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::limits {

std::uint64_t admission_request::missing() const
{
    std::uint64_t held = m_own;
    for (const loan_part& part : m_loans)
    {
        held += part.m_amount;
    }
    return m_charge - std::min(m_charge, held);
}

asked_lender* admission_request::find_asked(core::instance_id lender)
{
    const auto found = std::find_if(m_asked.begin(), m_asked.end(), [&](const asked_lender& each) {
        return each.m_lender == lender;
    });
    return found == m_asked.end() ? nullptr : &*found;
}

void admission_request::note_ask(core::instance_id lender, std::uint64_t loan_id,
                                 std::uint64_t amount)
{
    m_open_amount += amount;
    ++m_open_asks;
    asked_lender* before = find_asked(lender);
    if (before != nullptr)
    {
        *before = {lender, loan_id, true, false};
        return;
    }
    m_asked.push_back({lender, loan_id, false, false});
}

void admission_request::close_ask(std::uint64_t amount)
{
    TARRAGONTRAIL_INVARIANT(m_open_asks > 0 && m_open_amount >= amount,
                            "limits.open_asks_not_negative");
    --m_open_asks;
    m_open_amount -= amount;
}

} // namespace tarragontrail::limits
