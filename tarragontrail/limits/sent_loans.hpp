#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/messages.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace tarragontrail::limits {

/// Loan request that was sent.
struct sent_loan
{
    enum class state : std::uint8_t
    {
        open,      ///< The answer is awaited.
        taken,     ///< The loan belongs to its request.
        abandoned, ///< A loan that still arrives goes back.
    };

    core::request_id m_request{};     ///< Request that it was asked for.
    core::workspace_id m_workspace{}; ///< Workspace of the loan.
    core::instance_id m_lender{};     ///< Home that was asked.
    std::uint64_t m_amount = 0;       ///< Micro-tokens asked for.
    core::time_point m_asked_at;      ///< Start of the loan's lifetime.
    state m_state = state::open;      ///< What became of it.
};

/// Loan requests that this instance has sent, until their loans could not be used any more.
class sent_loans
{
public:
    /// Loan ids count up from `first_id`.
    explicit sent_loans(std::uint64_t first_id) : m_next_id(first_id) {}

    /// Remembers a request; returns its loan id.
    std::uint64_t add(const sent_loan& loan, const limit_settings& settings);

    /// Request of a loan id; nothing when it is unknown or forgotten.
    sent_loan* find(std::uint64_t loan_id);

    /// Gives up an open request; false when it was not open.
    bool abandon(std::uint64_t loan_id);

    /// Time at which the next open request times out or is passed over.
    std::optional<core::time_point> next_deadline() const;

    /// Gives up one request whose answer is overdue and returns its loan id.
    std::optional<std::uint64_t> time_out_one(const limit_settings& settings, core::time_point now);

private:
    struct timed_loan
    {
        core::time_point m_due;
        std::uint64_t m_loan_id = 0;
    };

    void forget(core::time_point now);

    std::unordered_map<std::uint64_t, sent_loan> m_loans; ///< By loan id.
    std::deque<timed_loan> m_timeouts;                    ///< In order of timing out.
    std::deque<timed_loan> m_forgetting;                  ///< In order of being forgotten.
    std::uint64_t m_next_id;                              ///< Next loan id.
};

} // namespace tarragontrail::limits
