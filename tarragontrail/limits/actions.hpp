#pragma once

#include "tarragontrail/limits/messages.hpp"

#include <variant>

namespace tarragontrail::limits {

/// Why a request was refused before it ran.
enum class refusal_reason : std::uint8_t
{
    unknown_workspace, ///< The workspace has no known limit.
    above_burst,   ///< The charge exceeds the workspace's whole burst, so it can never be admitted.
    rate_exceeded, ///< The reachable shares together hold too few tokens.
    deadline_expired,  ///< The deadline passed before the charge was gathered.
    homes_unreachable, ///< Too few tokens were gathered, and at least one home did not answer.
};

/// Text of a refusal reason in answers to callers, logs and metric labels.
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
    core::request_id m_request{};
    std::uint64_t m_charge = 0; ///< Tokens charged, in whole tokens.
    std::uint32_t m_loans = 0;  ///< Number of loans that cover the charge, besides the local share.
};

/// The request must not run.
struct refused
{
    core::request_id m_request{};
    refusal_reason m_reason{};
    std::chrono::milliseconds m_retry_after{}; ///< Delay after which a retry may be admitted; zero
                                               ///< if there is none to give.
};

/// Sends a message to one other instance.
template <class Message>
struct send_to
{
    core::instance_id m_to{};
    Message m_message;
};

/// Reads a workspace's share row from the table service.
struct read_share_row
{
    core::workspace_id m_workspace{};
};

/// Replaces a workspace's share row by compare-and-set on its version.
struct write_share_row
{
    share_row m_row; ///< New row; its version is the expected version plus one.
    /// Version that the stored row must have; zero creates the row.
    std::uint64_t m_expected_version{};
};

/// Action that admission_control requests from the I/O layer.
using action =
    std::variant<admitted, refused, send_to<loan_request>, send_to<loan_reply>,
                 send_to<loan_settle>, send_to<share_hint>, read_share_row, write_share_row>;

} // namespace tarragontrail::limits
