#include "tarragontrail/limits/token_bucket.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::limits {
namespace {

/// Wide enough for a rate multiplied by a duration in nanoseconds.
__extension__ using wide_uint = unsigned __int128;

constexpr std::uint64_t nanoseconds_per_second = 1'000'000'000;

} // namespace

void token_bucket::refill(core::time_point now)
{
    if (now <= m_refilled_at)
    {
        return;
    }
    const auto elapsed = static_cast<std::uint64_t>((now - m_refilled_at).count());
    m_refilled_at = now;

    const wide_uint accrued = wide_uint{m_limit.m_rate} * elapsed + m_fraction;
    m_fraction = static_cast<std::uint64_t>(accrued % nanoseconds_per_second);
    const wide_uint whole = accrued / nanoseconds_per_second;

    add(static_cast<std::uint64_t>(std::min(whole, wide_uint{m_limit.m_burst})));
    record_headroom();
}

std::uint64_t token_bucket::consume_up_to(std::uint64_t amount)
{
    const std::uint64_t taken = std::min(amount, m_balance);
    m_balance -= taken;
    return taken;
}

std::uint64_t token_bucket::reserve(std::uint64_t amount)
{
    const std::uint64_t taken = consume_up_to(amount);
    m_reserved += taken;
    return taken;
}

void token_bucket::consume_reserved(std::uint64_t amount)
{
    TARRAGONTRAIL_INVARIANT(amount <= m_reserved, "limits.spent_within_reserved");
    m_reserved -= amount;
}

void token_bucket::release_reserved(std::uint64_t amount)
{
    consume_reserved(amount);
    add(amount);
    record_headroom();
}

std::uint64_t token_bucket::mark()
{
    const std::uint64_t mark = m_headroom.mark();
    record_headroom();
    return mark;
}

void token_bucket::refund(std::uint64_t amount, std::uint64_t mark)
{
    record_headroom();
    const std::uint64_t kept = std::min(amount, m_headroom.minimum_since(mark));
    m_headroom.subtract(amount);
    add(kept);
    record_headroom();
}

void token_bucket::set_limit(const bucket_limit& limit)
{
    m_limit = limit;
    m_balance = std::min(m_balance, max_balance());
    record_headroom();
}

core::duration token_bucket::time_until(std::uint64_t amount) const noexcept
{
    if (amount <= m_balance)
    {
        return core::duration::zero();
    }
    if (amount > max_balance() || m_limit.m_rate == 0)
    {
        return core::duration::max();
    }
    const wide_uint missing = wide_uint{amount - m_balance} * nanoseconds_per_second;
    const wide_uint wait = (missing + m_limit.m_rate - 1) / m_limit.m_rate;
    const auto longest = static_cast<wide_uint>(core::duration::max().count());
    return core::duration(static_cast<core::duration::rep>(std::min(wait, longest)));
}

std::uint64_t token_bucket::max_balance() const noexcept
{
    return m_limit.m_burst - std::min(m_limit.m_burst, m_reserved);
}

void token_bucket::add(std::uint64_t amount)
{
    m_balance += std::min(amount, max_balance() - std::min(max_balance(), m_balance));
    m_fraction = m_balance == max_balance() ? 0 : m_fraction;
}

void token_bucket::record_headroom()
{
    TARRAGONTRAIL_INVARIANT(m_balance <= max_balance(), "limits.balance_and_loans_within_burst");
    m_headroom.record(max_balance() - m_balance);
}

} // namespace tarragontrail::limits
