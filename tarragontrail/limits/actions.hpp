#pragma once

#include "tarragontrail/limits/messages.hpp"

#include <variant>

namespace tarragontrail::limits {

/// Why a request was refused before it ran.
enum class refusal_reason : std::uint8_t
{
    unknown_workspace, ///< No limit is known for the workspace.
    above_burst,       ///< The charge exceeds the workspace's whole burst and can never pass.
    rate_exceeded,     ///< All shares that could be reached hold too few tokens.
    deadline_expired,  ///< The request's deadline passed first.
    homes_unreachable, ///< Too few tokens were found and some home did not answer.
};

/// Text of a refusal reason as shown to callers and in logs.
constexpr const char* to_string(refusal_reason reason) noexcept
{
    switch (reason)
    {
    case refusal_reason::unknown_workspace:
        return "unknown workspace";
    case refusal_reason::above_burst:
        return "charge above burst";
    case refusal_reason::rate_exceeded:
        return "rate exceeded";
    case refusal_reason::deadline_expired:
        return "deadline expired";
    case refusal_reason::homes_unreachable:
        return "homes unreachable";
    }
    return "unknown";
}

/// The request may be dispatched now.
struct admitted
{
    core::request_id m_request{}; ///< Request admitted.
    std::uint64_t m_charge = 0;   ///< Tokens charged.
    std::uint32_t m_loans = 0;    ///< Loans that the charge was gathered from.
};

/// The request must not run.
struct refused
{
    core::request_id m_request{}; ///< Request refused.
    refusal_reason m_reason{};    ///< Why.
    std::chrono::milliseconds
        m_retry_after{}; ///< Time after which a retry may pass; zero if never.
};

/// A message for one other instance.
template <class Message>
struct send_to
{
    core::instance_id m_to{}; ///< Receiver.
    Message m_message;        ///< Message to deliver.
};

/// Read a workspace's share row from the table service.
struct read_share_row
{
    core::workspace_id m_workspace{}; ///< Workspace of the row.
};

/// Replace a workspace's share row if its version is still the expected one.
struct write_share_row
{
    share_row m_row;                    ///< New row; its version is the expected one plus one.
    std::uint64_t m_expected_version{}; ///< Version to replace; zero creates the row.
};

/// Anything that the limits core asks its shell to do.
using action =
    std::variant<admitted, refused, send_to<loan_request>, send_to<loan_reply>,
                 send_to<loan_settle>, send_to<share_hint>, read_share_row, write_share_row>;

} // namespace tarragontrail::limits
