#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tarragontrail::limits {

/// Asks a home of a workspace to lend tokens for one request.
struct loan_request
{
    std::uint64_t m_loan_id{}; ///< Unique among the borrower's loans, also over its restarts.
    core::workspace_id m_workspace{}; ///< Workspace whose tokens are asked for.
    std::uint64_t m_amount{};         ///< Micro-tokens wanted; the lender may grant fewer.
    core::view_number m_view{};       ///< Borrower's agreed view.

    bool operator==(const loan_request&) const = default;
};

/// Answer to a loan request.
struct loan_reply
{
    std::uint64_t m_loan_id{};        ///< Loan that is answered.
    core::workspace_id m_workspace{}; ///< Workspace of the loan.
    bool m_granted{};                 ///< Whether anything was lent.
    std::uint64_t m_amount{};         ///< Micro-tokens lent.
    std::uint64_t m_left{};           ///< Micro-tokens left at the lender.
    std::chrono::milliseconds
        m_retry_after{}; ///< Time until the lender has the missing part; zero if never.

    bool operator==(const loan_reply&) const = default;
};

/// Tells a lender that a loan's request has ended or was not admitted.
struct loan_settle
{
    std::uint64_t m_loan_id{};        ///< Loan that is settled.
    core::workspace_id m_workspace{}; ///< Workspace of the loan.
    std::uint64_t m_used{};           ///< Micro-tokens used; the rest is refunded.

    bool operator==(const loan_settle&) const = default;
};

/// Tells other homes and recent borrowers how full a home's share is.
struct share_hint
{
    core::workspace_id m_workspace{}; ///< Workspace of the share.
    std::uint64_t m_left{};           ///< Micro-tokens in the share.
    std::uint64_t m_limit_epoch{};    ///< Epoch of the limit that bounds the share.
    core::view_number m_view{};       ///< Sender's agreed view.

    bool operator==(const share_hint&) const = default;
};

/// Holder of one share of a workspace's limit.
struct share_slot
{
    core::instance_id m_holder{};   ///< Instance that holds the share.
    core::instance_id m_claimant{}; ///< Instance that takes over from a lost holder; zero if none.

    bool operator==(const share_slot&) const = default;
};

/// Row of the table service that says who holds the shares of a workspace.
struct share_row
{
    core::workspace_id m_workspace{}; ///< Workspace of the shares.
    std::uint64_t m_version{};        ///< Version for compare-and-set; zero stands for no row.
    std::vector<share_slot> m_slots;  ///< One slot a share, in the order of the shares.

    bool operator==(const share_row&) const = default;
};

} // namespace tarragontrail::limits
