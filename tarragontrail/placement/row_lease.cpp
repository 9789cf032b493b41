#include "tarragontrail/placement/row_lease.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::placement {

row_lease::row_lease(row_lease_settings settings, std::string table, std::string key,
                     core::instance_id self, core::incarnation started, std::uint64_t nonce)
    : m_settings(settings), m_table(std::move(table)), m_key(std::move(key)), m_self(self),
      m_started(started), m_nonce(nonce)
{}

void row_lease::acquire(core::time_point now)
{
    if (std::exchange(m_wanted, true) || m_step != step::waiting)
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

void row_lease::release(core::time_point now)
{
    if (!std::exchange(m_wanted, false))
    {
        return;
    }
    m_latest_send = core::time_point::min();
    if (m_step == step::waiting)
    {
        start_next_step(now);
    }
}

void row_lease::revoke(core::time_point now)
{
    m_latest_send = core::time_point::min();
    m_needs_new_fence = true;
    if (m_step == step::waiting)
    {
        m_step = step::reread_due;
        m_due = now;
    }
}

void row_lease::on_read(const idempotency::read_result& result, core::time_point now)
{
    evaluate_row(result, now);
}

void row_lease::on_written(const idempotency::write_result& result, core::time_point now)
{
    if (!result.m_ok)
    {
        evaluate_row(result.m_current, now);
        return;
    }
    evaluate_own_row(m_pending_row, result.m_versions.at(0));
    start_next_step(now);
}

void row_lease::on_failed(core::time_point now)
{
    m_step = step::reread_due;
    m_due = now + m_settings.m_retry_delay;
}

void row_lease::on_timer(core::time_point now)
{
    if (m_due > now)
    {
        return;
    }
    if (m_step == step::waiting && m_owned)
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
    return m_wanted && m_owned && now < m_latest_send;
}

bool row_lease::idle() const noexcept
{
    return !m_wanted && !m_owned && m_step == step::waiting;
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
    const bool same_holding = m_owned && !m_needs_new_fence;
    m_needs_new_fence = false;
    m_pending_row = {m_self,
                     m_started,
                     m_nonce,
                     ++m_sequence,
                     same_holding ? m_last_row.m_fence : m_last_row.m_fence + 1,
                     successor_wait(),
                     free};
    m_requested_at = now;
    m_step = step::writing;
    m_due = core::time_point::max();
    idempotency::table_write transaction;
    transaction.m_writes.push_back({m_table, m_key, m_version, encode_row(m_pending_row)});
    m_operation = std::move(transaction);
}

void row_lease::start_next_step(core::time_point now)
{
    if (!m_wanted)
    {
        if (m_owned)
        {
            start_write(true, now);
            return;
        }
        wait_until(core::time_point::max());
        return;
    }
    if (!m_owned || m_latest_send <= now || m_needs_new_fence)
    {
        start_write(false, now);
        return;
    }
    wait_until(m_requested_at + m_settings.m_duration / 2);
}

void row_lease::evaluate_row(const idempotency::read_result& result, core::time_point now)
{
    if (!result.m_found)
    {
        m_owned = false;
        m_watching_other = false;
        m_version = 0;
        start_next_step(now);
        return;
    }
    lease_row row;
    try
    {
        row = decode_row(result.m_value);
    }
    catch (const lease_row_error&)
    {
        // The row cannot be taken over, as its fencing number is not known.
        m_owned = false;
        m_latest_send = core::time_point::min();
        m_step = step::reread_due;
        m_due = m_wanted ? now + m_settings.m_poll_interval : core::time_point::max();
        return;
    }
    if (row.m_nonce == m_nonce && row.m_holder == m_self)
    {
        evaluate_own_row(row, result.m_version);
        start_next_step(now);
        return;
    }
    evaluate_other_row(row, result.m_version, now);
}

void row_lease::evaluate_own_row(const lease_row& row, idempotency::row_version version)
{
    m_last_row = row;
    m_version = version;
    m_owned = !row.m_free;
    m_watching_other = false;

    // The request time is known for the latest write only.
    if (!m_owned || !m_wanted || row.m_sequence != m_pending_row.m_sequence)
    {
        return;
    }
    m_latest_send = m_requested_at + m_settings.m_duration - m_settings.m_safety_margin;
    m_fence = row.m_fence;
}

void row_lease::evaluate_other_row(const lease_row& row, idempotency::row_version version,
                                   core::time_point now)
{
    if (!m_watching_other || version != m_version)
    {
        m_other_row_since = now;
    }
    m_watching_other = true;
    m_owned = false;
    m_latest_send = core::time_point::min();
    m_last_row = row;
    m_version = version;
    if (!m_wanted)
    {
        wait_until(core::time_point::max());
        return;
    }

    // The wait covers the longest time for which the other holder may send and the work that it
    // sent last.
    const core::time_point expiry = m_other_row_since + std::max(row.m_wait, successor_wait());
    if (row.m_free || now >= expiry)
    {
        start_write(false, now);
        return;
    }
    m_step = step::reread_due;
    m_due = std::min<core::time_point>(now + m_settings.m_poll_interval, expiry);
}

void row_lease::wait_until(core::time_point due)
{
    m_step = step::waiting;
    m_due = due;
}

std::chrono::milliseconds row_lease::successor_wait() const
{
    return m_settings.m_duration + m_settings.m_safety_margin + m_settings.m_max_order_duration;
}

} // namespace tarragontrail::placement
