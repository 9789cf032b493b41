#pragma once

#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/limits/token_bucket.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace tarragontrail::limits {

/// A home's share of a workspace's token bucket, and the loans granted from it.
///
/// A loan stays reserved, and so counts against the burst, until it is settled or expires by this
/// instance's clock. An expired loan counts as spent; a later settlement refunds its unused part.
class home_share
{
public:
    /// Creates an empty share that fills from `usable_at` on and neither lends nor admits before.
    home_share(const bucket_limit& limit, core::time_point usable_at)
        : m_bucket(limit, usable_at), m_usable_at(usable_at)
    {}

    /// Expires loans that are due and refills the bucket.
    void advance(const limit_settings& settings, core::time_point now);

    /// Answers a loan request. A repeated request gets the same answer and reserves nothing more.
    loan_reply lend(core::instance_id borrower, const loan_request& request,
                    const limit_settings& settings, core::time_point now);

    /// Settles a loan; repeated settlements have no effect.
    void settle(core::instance_id borrower, const loan_settle& message,
                const limit_settings& settings, core::time_point now);

    bool is_usable(core::time_point now) const noexcept { return now >= m_usable_at; }

    token_bucket& bucket() noexcept { return m_bucket; }
    const token_bucket& bucket() const noexcept { return m_bucket; }

private:
    /// Identity of a loan; loan ids are unique per borrower only.
    struct loan_key
    {
        core::instance_id m_borrower{};
        std::uint64_t m_loan_id = 0;

        bool operator==(const loan_key&) const = default;
    };

    struct loan_key_hash
    {
        std::size_t operator()(const loan_key& key) const noexcept
        {
            return std::hash<std::uint64_t>{}(core::value_of(key.m_borrower) ^ key.m_loan_id);
        }
    };

    enum class loan_state : std::uint8_t
    {
        reserved, ///< Granted, neither settled nor expired.
        spent,    ///< Expired; a settlement may still refund a part.
        settled,  ///< Settled, or settled before it was requested.
    };

    struct loan
    {
        std::uint64_t m_amount = 0;      ///< Lent, in micro-tokens.
        std::uint64_t m_refund_mark = 0; ///< token_bucket::mark() when the loan expired.
        loan_state m_state = loan_state::reserved;
    };

    struct loan_timer
    {
        core::time_point m_due;
        loan_key m_key;
    };

    void expire_loan(const loan_timer& due, const limit_settings& settings);

    token_bucket m_bucket;
    core::time_point m_usable_at; ///< No lending or admission before this time.
    /// Loans that a settlement or a repeated request may still refer to.
    std::unordered_map<loan_key, loan, loan_key_hash> m_loans;
    std::deque<loan_timer> m_expiries; ///< In order of expiry.
    std::deque<loan_timer> m_erasures; ///< Expired loans, in order of erasure.
};

} // namespace tarragontrail::limits
