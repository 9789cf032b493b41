#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/messages.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace tarragontrail::limits {

/// Loan request that this instance has sent.
struct outgoing_loan_request
{
    enum class state : std::uint8_t
    {
        open,      ///< Awaits its reply.
        accepted,  ///< The loan was added to its request.
        abandoned, ///< A loan that is still granted is returned.
    };

    core::request_id m_request{}; ///< Request that needs the loan.
    core::workspace_id m_workspace{};
    core::instance_id m_lender{};
    std::uint64_t m_amount = 0;      ///< In micro-tokens.
    core::time_point m_requested_at; ///< Start of the loan's lifetime.
    state m_state = state::open;
};

/// Loan requests that this instance has sent; each is kept until its loan is no longer usable.
class outgoing_loan_requests
{
public:
    /// Loan ids count up from `first_id`.
    explicit outgoing_loan_requests(std::uint64_t first_id) : m_next_id(first_id) {}

    /// Adds a request and returns its loan id.
    std::uint64_t add(const outgoing_loan_request& loan, const limit_settings& settings);

    /// Request with a loan id, or nullptr if it is unknown or was erased.
    outgoing_loan_request* find(std::uint64_t loan_id);

    /// Abandons a request. Returns false if it was not open.
    bool abandon(std::uint64_t loan_id);

    /// Time of the next timeout; its request may have been closed meanwhile.
    std::optional<core::time_point> next_deadline() const;

    /// Abandons one open request whose reply timeout has passed and returns its loan id, if there
    /// is one.
    std::optional<std::uint64_t> time_out_one(const limit_settings& settings, core::time_point now);

private:
    struct request_timer
    {
        core::time_point m_due;
        std::uint64_t m_loan_id = 0;
    };

    void erase_expired(core::time_point now);

    std::unordered_map<std::uint64_t, outgoing_loan_request> m_requests; ///< By loan id.
    std::deque<request_timer> m_timeouts;                                ///< In order of timeout.
    std::deque<request_timer> m_erasures;                                ///< In order of erasure.
    std::uint64_t m_next_id;
};

} // namespace tarragontrail::limits
