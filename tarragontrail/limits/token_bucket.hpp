#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/headroom_history.hpp"

#include <cstdint>

namespace tarragontrail::limits {

/// Micro-tokens in one token; all accounts are kept in micro-tokens.
constexpr std::uint64_t micro_tokens_per_token = 1'000'000;

/// Largest rate and burst of a workspace, in tokens.
constexpr std::uint64_t largest_limit_tokens = 1'000'000'000;

/// Rate and burst of one bucket.
struct bucket_limit
{
    std::uint64_t m_rate = 0;  ///< Micro-tokens added a second.
    std::uint64_t m_burst = 0; ///< Micro-tokens at most.

    bool operator==(const bucket_limit&) const = default;
};

/// Token bucket in integers: no drift, and reserved tokens count against the burst.
///
/// A refund gives back no more than the bucket would hold now had the smaller amount been taken at
/// first: what would have overflowed since then is lost. So for every window, what was taken less
/// what was refunded, each counted at the moment of taking, stays within burst + rate * window.
class token_bucket
{
public:
    /// Makes an empty bucket that fills from `now` on.
    token_bucket(const bucket_limit& limit, core::time_point now)
        : m_limit(limit), m_refilled_at(now)
    {}

    /// Adds what has accrued until `now`; an earlier time than the last has no effect.
    void refill(core::time_point now);

    /// Takes up to `amount` for good; returns what was taken.
    std::uint64_t consume_up_to(std::uint64_t amount);

    /// Sets up to `amount` aside: it is gone from the balance but still fills the bucket.
    std::uint64_t reserve(std::uint64_t amount);

    /// Ends a reservation; its tokens count as taken.
    void consume_reserved(std::uint64_t amount);

    /// Puts reserved tokens back into the balance; they were never taken.
    void release_reserved(std::uint64_t amount);

    /// Mark to refund by, got right after tokens were taken or spent.
    std::uint64_t mark();

    /// Refunds tokens taken at `mark`, as far as they would still be there.
    void refund(std::uint64_t amount, std::uint64_t mark);

    /// Replaces rate and burst; what no longer fits is lost.
    void set_limit(const bucket_limit& limit);

    std::uint64_t balance() const noexcept { return m_balance; }
    std::uint64_t reserved() const noexcept { return m_reserved; }
    const bucket_limit& limit() const noexcept { return m_limit; }

    /// Time until the balance reaches `amount`; the longest duration if it never does.
    core::duration time_until(std::uint64_t amount) const noexcept;

private:
    /// Tokens that the balance may hold beside the reservations.
    std::uint64_t max_balance() const noexcept;

    /// Adds to the balance as far as there is room.
    void add(std::uint64_t amount);

    /// Notes the headroom and checks the account.
    void record_headroom();

    bucket_limit m_limit;           ///< Rate and burst.
    core::time_point m_refilled_at; ///< Time up to which the balance has been refilled.
    std::uint64_t m_balance = 0;    ///< Micro-tokens that may be taken.
    std::uint64_t m_reserved = 0;   ///< Micro-tokens set aside and neither spent nor returned.
    std::uint64_t m_fraction = 0;   ///< Part of a micro-token accrued, in micro-token nanoseconds.
    headroom_history m_headroom;    ///< Room left in the past.
};

} // namespace tarragontrail::limits
