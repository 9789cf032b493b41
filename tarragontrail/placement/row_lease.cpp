#include "tarragontrail/placement/row_lease.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::placement {

row_lease::row_lease(row_lease_settings settings, std::string table, std::string key,
                     core::instance_id self, core::incarnation started, std::uint64_t nonce)
    : m_settings(settings), m_table(std::move(table)), m_key(std::move(key)), m_self(self),
      m_started(started), m_nonce(nonce)
{}

void row_lease::want(core::time_point now)
{
    if (std::exchange(m_wanted, true) || m_step != step::resting)
    {
        return;
    }
    if (m_owned)
    {
        start_write(false, now);
        return;
    }
    start_read();
}

void row_lease::drop(core::time_point now)
{
    if (!std::exchange(m_wanted, false))
    {
        return;
    }
    m_send_until = core::time_point::min();
    if (m_step == step::resting)
    {
        proceed(now);
    }
}

void row_lease::revoke(core::time_point now)
{
    m_send_until = core::time_point::min();
    m_raise_fence = true;
    if (m_step == step::resting)
    {
        m_step = step::unsettled;
        m_due = now;
    }
}

void row_lease::on_read(const idempotency::read_result& result, core::time_point now)
{
    consider(result, now);
}

void row_lease::on_written(const idempotency::write_result& result, core::time_point now)
{
    if (!result.m_ok)
    {
        consider(result.m_current, now);
        return;
    }
    consider_own(m_written, result.m_versions.at(0));
    proceed(now);
}

void row_lease::on_failed(core::time_point now)
{
    m_step = step::unsettled;
    m_due = now + m_settings.m_retry;
}

void row_lease::on_timer(core::time_point now)
{
    if (m_due > now)
    {
        return;
    }
    if (m_step == step::resting && m_owned)
    {
        start_write(!m_wanted, now);
        return;
    }
    start_read();
}

std::optional<core::time_point> row_lease::next_deadline() const
{
    if (m_due == core::time_point::max())
    {
        return std::nullopt;
    }
    return m_due;
}

std::optional<lease_operation> row_lease::take_operation()
{
    return std::exchange(m_operation, std::nullopt);
}

bool row_lease::is_held(core::time_point now) const
{
    return m_wanted && m_owned && now < m_send_until;
}

bool row_lease::idle() const noexcept
{
    return !m_wanted && !m_owned && m_step == step::resting;
}

void row_lease::start_read()
{
    m_step = step::reading;
    m_due = core::time_point::max();
    m_operation = idempotency::table_read{0, m_table, m_key};
}

void row_lease::start_write(bool free, core::time_point now)
{
    // Only a change of holder takes a new fencing number.
    const bool same_holding = m_owned && !m_raise_fence;
    m_raise_fence = false;
    m_written = {m_self,
                 m_started,
                 m_nonce,
                 ++m_sequence,
                 same_holding ? m_seen.m_fence : m_seen.m_fence + 1,
                 successor_wait(),
                 free};
    m_asked = now;
    m_step = step::writing;
    m_due = core::time_point::max();
    idempotency::table_write transaction;
    transaction.m_writes.push_back({m_table, m_key, m_version, encode_row(m_written)});
    m_operation = std::move(transaction);
}

void row_lease::proceed(core::time_point now)
{
    if (!m_wanted)
    {
        if (m_owned)
        {
            start_write(true, now);
            return;
        }
        rest(core::time_point::max());
        return;
    }
    if (!m_owned || m_send_until <= now || m_raise_fence)
    {
        start_write(false, now);
        return;
    }
    rest(m_asked + m_settings.m_duration / 2);
}

void row_lease::consider(const idempotency::read_result& result, core::time_point now)
{
    if (!result.m_found)
    {
        m_owned = false;
        m_observed_foreign = false;
        m_version = 0;
        proceed(now);
        return;
    }
    lease_row row;
    try
    {
        row = decode_row(result.m_value);
    }
    catch (const lease_row_error&)
    {
        // Without its fencing number the row cannot be taken over.
        m_owned = false;
        m_send_until = core::time_point::min();
        m_step = step::unsettled;
        m_due = m_wanted ? now + m_settings.m_poll : core::time_point::max();
        return;
    }
    if (row.m_nonce == m_nonce && row.m_holder == m_self)
    {
        consider_own(row, result.m_version);
        proceed(now);
        return;
    }
    consider_foreign(row, result.m_version, now);
}

void row_lease::consider_own(const lease_row& row, idempotency::row_version version)
{
    m_seen = row;
    m_version = version;
    m_owned = !row.m_free;
    m_observed_foreign = false;

    // The time of asking is known for the latest write only.
    if (!m_owned || !m_wanted || row.m_sequence != m_written.m_sequence)
    {
        return;
    }
    m_send_until = m_asked + m_settings.m_duration - m_settings.m_margin;
    m_held_fence = row.m_fence;
}

void row_lease::consider_foreign(const lease_row& row, idempotency::row_version version,
                                 core::time_point now)
{
    if (!m_observed_foreign || version != m_version)
    {
        m_observed_since = now;
    }
    m_observed_foreign = true;
    m_owned = false;
    m_send_until = core::time_point::min();
    m_seen = row;
    m_version = version;
    if (!m_wanted)
    {
        rest(core::time_point::max());
        return;
    }

    // The wait covers the other's longest right to send and what it sent last.
    const core::time_point lapse = m_observed_since + std::max(row.m_wait, successor_wait());
    if (row.m_free || now >= lapse)
    {
        start_write(false, now);
        return;
    }
    m_step = step::unsettled;
    m_due = std::min<core::time_point>(now + m_settings.m_poll, lapse);
}

void row_lease::rest(core::time_point due)
{
    m_step = step::resting;
    m_due = due;
}

std::chrono::milliseconds row_lease::successor_wait() const
{
    return m_settings.m_duration + m_settings.m_margin + m_settings.m_max_order_duration;
}

} // namespace tarragontrail::placement
