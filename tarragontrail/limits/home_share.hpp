#pragma once

#include "tarragontrail/limits/limit_settings.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/limits/token_bucket.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace tarragontrail::limits {

/// One home's part of one workspace's bucket, and the loans it has made.
///
/// A loan stays reserved, and so counts against the burst, until it is settled or has lapsed by
/// this instance's clock. A lapsed loan counts as spent; a later settlement refunds the unused
/// part.
class home_share
{
public:
    /// Makes an empty share that fills from `usable_at` on and neither lends nor admits before.
    home_share(const bucket_limit& limit, core::time_point usable_at)
        : m_bucket(limit, usable_at), m_usable_at(usable_at)
    {}

    /// Lapses old loans and refills the bucket.
    void advance(const limit_settings& settings, core::time_point now);

    /// Answers a loan request; a repeated one gets the same answer and takes nothing more.
    loan_reply lend(core::instance_id borrower, const loan_request& request,
                    const limit_settings& settings, core::time_point now);

    /// Ends a loan; repeated settlements have no effect.
    void settle(core::instance_id borrower, const loan_settle& message,
                const limit_settings& settings, core::time_point now);

    bool is_usable(core::time_point now) const noexcept { return now >= m_usable_at; }

    token_bucket& bucket() noexcept { return m_bucket; }
    const token_bucket& bucket() const noexcept { return m_bucket; }

private:
    /// Identity of a loan: loan numbers are the borrower's own.
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
        reserved, ///< Granted, neither settled nor lapsed.
        spent,    ///< Lapsed; the settlement may still refund a part.
        settled,  ///< Ended.
    };

    struct loan
    {
        std::uint64_t m_amount = 0;      ///< Micro-tokens lent.
        std::uint64_t m_refund_mark = 0; ///< Mark of the moment when the loan lapsed.
        loan_state m_state = loan_state::reserved;
    };

    struct loan_timer
    {
        core::time_point m_due;
        loan_key m_key;
    };

    void expire_loan(const loan_timer& due, const limit_settings& settings);

    token_bucket m_bucket;                                     ///< The share's tokens.
    core::time_point m_usable_at;                              ///< No lending or admission before.
    std::unordered_map<loan_key, loan, loan_key_hash> m_loans; ///< Loans that are remembered.
    std::deque<loan_timer> m_expiries;                         ///< Loans in order of lapsing.
    std::deque<loan_timer> m_erasures; ///< Lapsed loans in order of being forgotten.
};

} // namespace tarragontrail::limits
