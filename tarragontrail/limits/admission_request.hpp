#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::limits {

/// Tokens received from one lender for one request.
struct received_loan
{
    core::instance_id m_lender{};    ///< Home that lent them.
    std::uint64_t m_loan_id = 0;     ///< Loan.
    std::uint64_t m_amount = 0;      ///< Micro-tokens lent.
    core::time_point m_usable_until; ///< The request must be admitted before.
};

/// Lender asked for one request.
struct contacted_lender
{
    core::instance_id m_lender{};   ///< Home that was asked.
    std::uint64_t m_loan_id = 0;    ///< Its last loan request.
    bool m_is_repeated = false;     ///< Asked a second time already.
    bool m_has_tokens_left = false; ///< It answered that it has tokens left.
};

/// Request that is gathering its charge or has been admitted.
struct admission_request
{
    /// Micro-tokens that are neither held nor lent yet.
    std::uint64_t missing() const;

    /// Entry of a lender that was asked; nothing when it was not.
    contacted_lender* find_contacted(core::instance_id lender);

    /// Notes a loan request that was sent.
    void add_loan_request(core::instance_id lender, std::uint64_t loan_id, std::uint64_t amount);

    /// Notes that a loan request of `amount` is open no more.
    void close_loan_request(std::uint64_t amount);

    core::workspace_id m_workspace{};          ///< Workspace that is charged.
    std::uint64_t m_charge = 0;                ///< Micro-tokens to gather.
    std::uint64_t m_own_tokens = 0;            ///< Micro-tokens from the share held here.
    std::uint64_t m_own_refund_mark = 0;       ///< Mark of the own part at admission.
    std::uint32_t m_own_share_generation = 0;  ///< Share that the own part came from.
    bool m_is_admitted = false;                ///< Admitted, not yet settled.
    bool m_lender_timed_out = false;           ///< Some lender did not answer in time.
    core::time_point m_deadline;               ///< Latest time of admission.
    std::vector<received_loan> m_loans;        ///< Loans received.
    std::vector<contacted_lender> m_contacted; ///< Lenders asked so far.
    std::uint64_t m_open_amount = 0;           ///< Micro-tokens asked for and not yet answered.
    std::uint32_t m_open_loan_requests = 0;    ///< Loan requests not yet answered.
};

} // namespace tarragontrail::limits
