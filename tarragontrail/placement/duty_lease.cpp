#include "tarragontrail/placement/duty_lease.hpp"

namespace tarragontrail::placement {

duty_lease::duty_lease(duty_lease_settings settings, core::instance_id self,
                       core::incarnation started)
    : m_settings(settings), m_self(self), m_started(started)
{}

void duty_lease::on_row(const std::optional<duty_row>& row, const core::store_version& version,
                        core::time_point now)
{
    if (version < m_version || (version == m_version && m_row == row && m_is_row_known))
    {
        return;
    }
    begin_era(version.m_era, now);
    // The first row of an era may be as old as the copy; a later one has been written since.
    m_was_holder = m_was_holder && !m_is_row_known;
    m_row = row;
    m_version = version;
    m_row_first_seen = now;
    m_is_row_known = true;
    m_released = false;
    m_renewal_failed = false;
    if (!row || !is_own(*row) || m_gives_back)
    {
        m_fence = 0;
        return;
    }
    // The row may also be the effect of a write whose answer was lost. It gives the lease, too,
    // unless an upstream has refused its fencing number, or it was written for a row of another
    // era.
    const std::uint64_t fence = core::fencing_number(version);
    if (fence != m_refused_fence && version.m_era == m_requested_era)
    {
        m_fence = fence;
        m_held_since = m_requested_at;
    }
}

void duty_lease::on_holding(const duty_holding& holding, const core::store_version& version,
                            core::duration age, core::time_point now)
{
    const bool is_known =
        version < m_version || (version == m_version && m_row == holding.m_row && m_is_row_known);
    if (is_known)
    {
        return;
    }
    // The write may have been carried out late, so only a row that may be much older than this
    // instance counts by its age.
    const bool is_first = !m_row && m_version.m_number == 0;
    on_row(holding.m_row, version, now);
    m_row_first_seen = is_first ? now - age : now;
    if (!is_own(holding.m_row))
    {
        note_orders(holding.m_orders, now);
    }
}

void duty_lease::on_release(const duty_release& release, const core::store_version& version,
                            core::time_point now)
{
    if (version < m_version || (version == m_version && m_is_row_known))
    {
        return;
    }
    on_row(release.m_row, version, now);
    m_released = true;
    m_fence = 0;
    if (!is_own(release.m_row))
    {
        note_orders(release.m_orders, now);
    }
}

void duty_lease::note_orders(const std::vector<sent_order>& orders, core::time_point now)
{
    for (const sent_order& order : orders)
    {
        const core::time_point sent = now - order.m_age;
        last_order& last =
            m_orders.try_emplace(order.m_engine, last_order{sent, false}).first->second;
        if (sent >= last.m_sent)
        {
            last = {sent, false};
        }
    }
}

void duty_lease::begin_era(std::uint64_t era, core::time_point now)
{
    if (era <= m_version.m_era)
    {
        return;
    }
    const bool is_first = m_version.m_era == 0 && !m_row;
    if (is_first && m_settings.m_upstreams_check_fences)
    {
        // Upstreams refuse a holder of an earlier era.
        m_requested_era = era;
        m_version = {era, 0};
        return;
    }
    m_was_holder = is_held(now) || m_was_holder;
    m_era_settled = now + m_settings.m_duration;
    m_is_row_known = false;
    m_fence = 0;
    m_version = {era, 0};
}

std::optional<duty_write> duty_lease::acquire_or_renew(const holder_status& holder,
                                                       core::time_point now)
{
    if (m_writing || !m_is_row_known || now < m_retry_at)
    {
        return std::nullopt;
    }
    if (m_fence == 0 && m_leaving_since &&
        now - *m_leaving_since >= m_settings.m_last_leaving_limit)
    {
        return std::nullopt;
    }
    const bool renewal_due = m_fence != 0 && !m_settings.m_upstreams_check_fences &&
                             now - m_held_since >= m_settings.m_duration / 2;
    if (m_fence != 0 && !renewal_due)
    {
        return std::nullopt;
    }
    if (m_fence == 0 && !may_acquire(holder, now))
    {
        return std::nullopt;
    }
    m_writing = true;
    m_gives_back = false;
    m_requested_at = now;
    m_requested_era = m_version.m_era;
    return duty_write{duty_row{m_self, m_started, ++m_sequence}, recent_orders(now), m_version};
}

void duty_lease::begin_leaving(core::time_point now)
{
    if (!m_leaving_since)
    {
        m_leaving_since = now;
    }
}

std::optional<duty_release_write> duty_lease::give_back(bool has_orders, bool has_successor,
                                                        core::time_point now)
{
    if (m_writing || !m_is_row_known || now < m_retry_at || !has_own_row())
    {
        return std::nullopt;
    }
    const auto limit = has_successor ? m_settings.m_leaving_limit : m_settings.m_last_leaving_limit;
    const bool finishes = is_held(now) && has_orders && now - *m_leaving_since < limit;
    if (finishes && !m_gives_back)
    {
        return std::nullopt;
    }
    m_gives_back = true;
    m_fence = 0;
    m_writing = true;
    return duty_release_write{{{m_self, m_started, ++m_sequence}, recent_orders(now)}, m_version};
}

std::vector<sent_order> duty_lease::recent_orders(core::time_point now)
{
    forget_old_orders(now);
    std::vector<sent_order> orders;
    for (const auto& [engine, order] : m_orders)
    {
        orders.push_back(
            {engine, std::chrono::floor<std::chrono::milliseconds>(now - order.m_sent)});
    }
    return orders;
}

std::optional<duty_release> duty_lease::yield(core::time_point now)
{
    const bool has_stopped = m_gives_back || m_renewal_failed;
    if (!has_own_row() || is_held(now) || !has_stopped || m_yielded == m_version)
    {
        return std::nullopt;
    }
    m_gives_back = true;
    m_fence = 0;
    m_yielded = m_version;
    return duty_release{*m_row, recent_orders(now)};
}

void duty_lease::on_yield(const duty_release& release, core::time_point now)
{
    if (m_row != release.m_row || is_own(release.m_row))
    {
        return;
    }
    m_released = true;
    note_orders(release.m_orders, now);
}

void duty_lease::on_given_back()
{
    m_writing = false;
    m_released = true;
}

void duty_lease::on_order_sent(core::upstream_id engine, core::time_point now)
{
    forget_old_orders(now);
    m_orders[engine] = {now, true};
}

bool duty_lease::may_order(core::upstream_id engine, core::time_point now) const
{
    if (!is_held(now))
    {
        return false;
    }
    const auto last = m_orders.find(engine);
    return last == m_orders.end() || last->second.m_own ||
           now - last->second.m_sent >= m_settings.m_duration;
}

void duty_lease::on_written(const core::store_version& version, core::time_point now)
{
    m_writing = false;
    on_row(duty_row{m_self, m_started, m_sequence}, version, now);
}

void duty_lease::on_write_refused(core::time_point now)
{
    m_writing = false;
    m_renewal_failed = m_fence != 0;
    m_retry_at = now + m_settings.m_retry_delay;
}

void duty_lease::on_write_lost(core::time_point now)
{
    m_writing = false;
    m_renewal_failed = m_fence != 0;
    m_retry_at = now + m_settings.m_retry_delay;
}

void duty_lease::on_fence_refused(core::time_point now)
{
    m_refused_fence = m_fence;
    m_fence = 0;
    m_retry_at = now + m_settings.m_duration;
}

bool duty_lease::is_held(core::time_point now) const
{
    if (m_fence == 0)
    {
        return false;
    }
    return m_settings.m_upstreams_check_fences ||
           now < m_held_since + m_settings.m_duration - m_settings.m_safety_margin;
}

bool duty_lease::is_own(const duty_row& row) const noexcept
{
    return row.m_holder == m_self && row.m_started == m_started;
}

bool duty_lease::may_acquire(const holder_status& holder, core::time_point now) const
{
    if (now < m_era_settled && !m_was_holder)
    {
        return false;
    }
    if (!m_row || m_row->m_holder == m_self || m_released)
    {
        return true;
    }
    const int durations = m_settings.m_upstreams_check_fences ? 1 : 2;
    return (!holder.m_alive || holder.m_stalled) &&
           now - m_row_first_seen >= durations * m_settings.m_duration;
}

void duty_lease::forget_old_orders(core::time_point now)
{
    std::erase_if(m_orders, [this, now](const auto& entry) {
        return now - entry.second.m_sent >= m_settings.m_duration;
    });
}

} // namespace tarragontrail::placement
