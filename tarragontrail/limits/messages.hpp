#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tarragontrail::limits {

/// Requests a loan of tokens for one request from a home of its workspace.
struct loan_request
{
    std::uint64_t m_loan_id{}; ///< Unique among the borrower's loans, also across its restarts.
    core::workspace_id m_workspace{}; ///< Workspace whose tokens are requested.
    std::uint64_t m_amount{};         ///< Micro-tokens requested; the lender may grant fewer.
    core::view_number m_view{};       ///< Number of the borrower's agreed membership view.

    bool operator==(const loan_request&) const = default;
};

/// Answer to a loan request.
struct loan_reply
{
    std::uint64_t m_loan_id{}; ///< Copied from the request.
    core::workspace_id m_workspace{};
    bool m_granted{};         ///< Whether any tokens were lent.
    std::uint64_t m_amount{}; ///< Micro-tokens lent.
    std::uint64_t m_left{};   ///< Remaining balance of the lender, in micro-tokens.
    std::chrono::milliseconds m_retry_after{}; ///< Time until the lender's balance covers the
                                               ///< missing part; zero if never.

    bool operator==(const loan_reply&) const = default;
};

/// Settles a loan after its request ended, was not admitted or no longer needs it.
struct loan_settle
{
    std::uint64_t m_loan_id{};
    core::workspace_id m_workspace{};
    std::uint64_t m_used{}; ///< Micro-tokens used; the rest is refunded.

    bool operator==(const loan_settle&) const = default;
};

/// Reports the balance of a home's share to the other homes.
struct share_hint
{
    core::workspace_id m_workspace{};
    std::uint64_t m_left{};        ///< Balance of the share, in micro-tokens.
    std::uint64_t m_limit_epoch{}; ///< Newest limit epoch that the sender knows.
    core::view_number m_view{};    ///< Number of the sender's agreed membership view.

    bool operator==(const share_hint&) const = default;
};

/// Holder of one share of a workspace's limit.
struct share_slot
{
    core::instance_id m_holder{};
    /// Instance that is taking over from a lost holder; zero if none.
    core::instance_id m_claimant{};

    bool operator==(const share_slot&) const = default;
};

/// Row of the table service with the holders of a workspace's shares.
struct share_row
{
    core::workspace_id m_workspace{};
    std::uint64_t m_version{}; ///< Version for compare-and-set; zero means that there is no row.
    std::vector<share_slot> m_slots; ///< One slot per share, in the order of the shares.

    bool operator==(const share_row&) const = default;
};

} // namespace tarragontrail::limits
