#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::limits {

/// Tokens that one lender lent for one request.
struct received_loan
{
    core::instance_id m_lender{};
    std::uint64_t m_loan_id = 0;     ///< Assigned by this instance.
    std::uint64_t m_amount = 0;      ///< In micro-tokens.
    core::time_point m_usable_until; ///< The request must be admitted before this time.
};

/// Home that was sent a loan request on behalf of one request.
struct contacted_lender
{
    core::instance_id m_lender{};
    std::uint64_t m_loan_id = 0;    ///< Newest loan request sent to it.
    bool m_is_repeated = false;     ///< A second loan request was sent.
    bool m_has_tokens_left = false; ///< Its reply reported a remaining balance.
};

/// Request that is gathering its charge or was admitted and not yet settled.
struct admission_request
{
    /// Micro-tokens of the charge that are covered neither locally nor by loans.
    std::uint64_t missing() const;

    /// Entry of a lender, or nullptr if it was not contacted.
    contacted_lender* find_contacted(core::instance_id lender);

    /// Records a loan request of `amount` micro-tokens that was sent.
    void add_loan_request(core::instance_id lender, std::uint64_t loan_id, std::uint64_t amount);

    /// Records that a loan request of `amount` micro-tokens is no longer open.
    void close_loan_request(std::uint64_t amount);

    core::workspace_id m_workspace{};
    std::uint64_t m_charge = 0;          ///< Total charge, in micro-tokens.
    std::uint64_t m_own_tokens = 0;      ///< Micro-tokens covered by the local share.
    std::uint64_t m_own_refund_mark = 0; ///< token_bucket::mark() at admission.
    /// share_generation() of the local share that they came from.
    std::uint32_t m_own_share_generation = 0;
    bool m_is_admitted = false;
    /// At least one lender did not answer within the reply timeout.
    bool m_lender_timed_out = false;
    core::time_point m_deadline; ///< Admission is refused from this time on.
    std::vector<received_loan> m_loans;
    std::vector<contacted_lender> m_contacted; ///< One entry per lender.
    std::uint64_t m_open_amount = 0;           ///< Micro-tokens requested and not yet answered.
    std::uint32_t m_open_loan_requests = 0;    ///< Number of loan requests not yet answered.
};

} // namespace tarragontrail::limits
