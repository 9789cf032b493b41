#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/headroom_history.hpp"

#include <cstdint>

namespace tarragontrail::limits {

/// Micro-tokens per token; all balances are kept in micro-tokens.
constexpr std::uint64_t micro_tokens_per_token = 1'000'000;

/// Maximum rate (per second) and burst of a workspace, in tokens.
constexpr std::uint64_t max_limit_tokens = 1'000'000'000;

/// Rate and capacity of one bucket.
struct bucket_limit
{
    std::uint64_t m_rate = 0;  ///< Micro-tokens added per second.
    std::uint64_t m_burst = 0; ///< Capacity in micro-tokens.

    bool operator==(const bucket_limit&) const = default;
};

/// Token bucket in integer arithmetic, without drift; reserved tokens count against the burst.
///
/// A refund restores no more than the bucket would hold now if only the smaller amount had been
/// consumed in the first place: tokens that would have overflowed since then are lost. So in every
/// window, consumed minus refunded tokens, each counted at the moment of consumption, stay within
/// burst + rate * window.
class token_bucket
{
public:
    /// Creates an empty bucket that fills from `now` on.
    token_bucket(const bucket_limit& limit, core::time_point now)
        : m_limit(limit), m_refilled_at(now)
    {}

    /// Adds the tokens accrued up to `now`; a time before the last refill has no effect.
    void refill(core::time_point now);

    /// Consumes up to `amount`; returns the consumed amount.
    std::uint64_t consume_up_to(std::uint64_t amount);

    /// Reserves up to `amount` and returns the reserved amount, which leaves the balance but still
    /// occupies the bucket.
    std::uint64_t reserve(std::uint64_t amount);

    /// Ends the reservation of `amount`; its tokens count as consumed.
    void consume_reserved(std::uint64_t amount);

    /// Moves reserved tokens back into the balance; they count as never consumed.
    void release_reserved(std::uint64_t amount);

    /// Mark for a later refund(); to be called right after tokens were consumed.
    std::uint64_t mark();

    /// Refunds tokens consumed at `mark`, as far as they would not have overflowed since.
    void refund(std::uint64_t amount, std::uint64_t mark);

    /// Replaces rate and burst; tokens beyond the new burst are lost.
    void set_limit(const bucket_limit& limit);

    std::uint64_t balance() const noexcept { return m_balance; }
    std::uint64_t reserved() const noexcept { return m_reserved; }
    const bucket_limit& limit() const noexcept { return m_limit; }

    /// Time until the balance reaches `amount`; duration::max() if it never does.
    core::duration time_until(std::uint64_t amount) const noexcept;

private:
    /// Burst minus reserved tokens.
    std::uint64_t max_balance() const noexcept;

    /// Adds to the balance up to max_balance().
    void add(std::uint64_t amount);

    /// Records the current headroom and checks the invariant of the balance.
    void record_headroom();

    bucket_limit m_limit;
    core::time_point m_refilled_at; ///< Time of the last refill.
    std::uint64_t m_balance = 0;    ///< Available micro-tokens.
    std::uint64_t m_reserved = 0;   ///< Micro-tokens reserved and neither consumed nor released.
    /// Accrued fraction of a micro-token, in billionths.
    std::uint64_t m_fraction = 0;
    headroom_history m_headroom; ///< Past values of max_balance() minus balance.
};

} // namespace tarragontrail::limits
