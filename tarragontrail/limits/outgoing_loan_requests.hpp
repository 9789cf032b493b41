#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/messages.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace tarragontrail::limits {

/// Loan request that was sent.
struct outgoing_loan_request
{
    enum class state : std::uint8_t
    {
        open,      ///< The answer is awaited.
        accepted,  ///< The loan belongs to its request.
        abandoned, ///< A loan that still arrives goes back.
    };

    core::request_id m_request{};     ///< Request that it was asked for.
    core::workspace_id m_workspace{}; ///< Workspace of the loan.
    core::instance_id m_lender{};     ///< Home that was asked.
    std::uint64_t m_amount = 0;       ///< Micro-tokens asked for.
    core::time_point m_requested_at;  ///< Start of the loan's lifetime.
    state m_state = state::open;      ///< What became of it.
};

/// Loan requests that this instance has sent, until their loans could not be used any more.
class outgoing_loan_requests
{
public:
    /// Loan ids count up from `first_id`.
    explicit outgoing_loan_requests(std::uint64_t first_id) : m_next_id(first_id) {}

    /// Remembers a request; returns its loan id.
    std::uint64_t add(const outgoing_loan_request& loan, const limit_settings& settings);

    /// Request of a loan id; nothing when it is unknown or forgotten.
    outgoing_loan_request* find(std::uint64_t loan_id);

    /// Gives up an open request; false when it was not open.
    bool abandon(std::uint64_t loan_id);

    /// Time at which the next open request times out or is passed over.
    std::optional<core::time_point> next_deadline() const;

    /// Gives up one request whose answer is overdue and returns its loan id.
    std::optional<std::uint64_t> time_out_one(const limit_settings& settings, core::time_point now);

private:
    struct request_timer
    {
        core::time_point m_due;
        std::uint64_t m_loan_id = 0;
    };

    void erase_expired(core::time_point now);

    std::unordered_map<std::uint64_t, outgoing_loan_request> m_requests; ///< By loan id.
    std::deque<request_timer> m_timeouts; ///< In order of timing out.
    std::deque<request_timer> m_erasures; ///< In order of being forgotten.
    std::uint64_t m_next_id;              ///< Next loan id.
};

} // namespace tarragontrail::limits
