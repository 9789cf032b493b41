#include "tarragontrail/limits/token_bucket.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::limits {
namespace {

/// Holds a rate times a duration without overflow.
__extension__ using wide_uint = unsigned __int128;

constexpr std::uint64_t NANOSECONDS_PER_SECOND = 1'000'000'000;

} // namespace

void token_bucket::refill(core::time_point now)
{
    if (now <= m_filled_at)
    {
        return;
    }
    const auto elapsed = static_cast<std::uint64_t>((now - m_filled_at).count());
    m_filled_at = now;

    const wide_uint accrued = wide_uint{m_limit.m_rate} * elapsed + m_carry;
    m_carry = static_cast<std::uint64_t>(accrued % NANOSECONDS_PER_SECOND);
    const wide_uint whole = accrued / NANOSECONDS_PER_SECOND;

    // More than twice the burst cannot fit; capping it keeps the overflow account in 64 bits.
    const wide_uint most = wide_uint{m_limit.m_burst} * 2;
    add(static_cast<std::uint64_t>(std::min(whole, most)));
    check();
}

std::uint64_t token_bucket::take(std::uint64_t amount)
{
    const std::uint64_t taken = std::min(amount, m_balance);
    m_balance -= taken;
    return taken;
}

std::uint64_t token_bucket::reserve(std::uint64_t amount)
{
    const std::uint64_t taken = take(amount);
    m_reserved += taken;
    check();
    return taken;
}

void token_bucket::spend_reserved(std::uint64_t amount)
{
    TARRAGONTRAIL_INVARIANT(amount <= m_reserved, "limits.spent_within_reserved");
    m_reserved -= amount;
}

void token_bucket::return_reserved(std::uint64_t amount)
{
    spend_reserved(amount);
    add(amount);
    check();
}

void token_bucket::refund(std::uint64_t amount, std::uint64_t overflow_then)
{
    const std::uint64_t lost = std::min(amount, m_overflow - overflow_then);
    m_overflow += lost;
    add(amount - lost);
    check();
}

void token_bucket::set_limit(const bucket_limit& limit)
{
    m_limit = limit;
    const std::uint64_t kept = std::min(m_balance, room());
    m_overflow += m_balance - kept;
    m_balance = kept;
    check();
}

core::duration token_bucket::time_until(std::uint64_t amount) const noexcept
{
    if (amount <= m_balance)
    {
        return core::duration::zero();
    }
    if (amount > room() || m_limit.m_rate == 0)
    {
        return core::duration::max();
    }
    const wide_uint missing = wide_uint{amount - m_balance} * NANOSECONDS_PER_SECOND;
    const wide_uint wait = (missing + m_limit.m_rate - 1) / m_limit.m_rate;
    const auto longest = static_cast<wide_uint>(core::duration::max().count());
    return core::duration(static_cast<core::duration::rep>(std::min(wait, longest)));
}

std::uint64_t token_bucket::room() const noexcept
{
    return m_limit.m_burst - std::min(m_limit.m_burst, m_reserved);
}

void token_bucket::add(std::uint64_t amount)
{
    const std::uint64_t space = room() - std::min(room(), m_balance);
    const std::uint64_t added = std::min(amount, space);
    m_balance += added;
    m_overflow += amount - added;
    m_carry = m_balance == room() ? 0 : m_carry;
}

void token_bucket::check() const
{
    TARRAGONTRAIL_INVARIANT(m_balance <= room(), "limits.balance_and_loans_within_burst");
}

} // namespace tarragontrail::limits
