#include "tarragontrail/config/bundle_agent.hpp"

#include "tarragontrail/config/bundle_delta.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::config {

namespace {

/// Consecutive failed table reads before the object store is tried.
constexpr std::size_t failed_reads_before_head_copy = 2;

} // namespace

bundle_agent::bundle_agent(const bundle_agent_settings& settings, core::instance_id self,
                           std::string failure_domain, key_table& keys, std::uint64_t seed)
    : m_settings(settings), m_self(self), m_failure_domain(std::move(failure_domain)), m_keys(keys),
      m_random(seed), m_fetcher(settings.m_fetcher, m_random())
{}

void bundle_agent::start(core::time_point now)
{
    m_next_poll_at = now + random_duration(m_settings.m_poll_interval / 4);
}

void bundle_agent::on_timer(core::time_point now)
{
    if (m_pending_read && m_pending_read->m_expires_at <= now)
    {
        on_table_failed(m_pending_read->m_operation, now);
    }
    if (m_pending_write && m_pending_write->m_expires_at <= now)
    {
        on_table_failed(m_pending_write->m_operation, now);
    }
    if (m_pending_fetch && m_pending_fetch->m_expires_at <= now)
    {
        on_object_failed(m_pending_fetch->m_operation, now);
    }
    if (!m_pending_read && m_next_poll_at <= now)
    {
        read_head_row(m_head.has_value(), now);
    }
    if (m_persist_at && *m_persist_at <= now)
    {
        persist_withdrawals(now);
    }
    start_fetch_attempt(now);
}

void bundle_agent::on_table_read(const read_reply& reply, core::time_point now)
{
    if (!m_pending_read || m_pending_read->m_operation != reply.m_operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_pending_read, std::nullopt);
    m_consecutive_failed_reads = 0;
    const bool has_value = !reply.m_value.empty();
    if (!reply.m_found || reply.m_version < m_head_revision)
    {
        return;
    }
    if (reply.m_version > m_head_revision && !has_value)
    {
        read_head_row(false, now);
        return;
    }
    if (reply.m_version > m_head_revision)
    {
        adopt_head(reply.m_value, reply.m_version, now);
    }
    record_table_confirmation(call.m_requested_at);
}

void bundle_agent::on_table_written(const write_reply& reply, core::time_point now)
{
    if (!m_pending_write || m_pending_write->m_operation != reply.m_operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_pending_write, std::nullopt);
    const std::string& text = reply.m_ok ? call.m_object_or_row_text : reply.m_value;
    if (reply.m_version > m_head_revision)
    {
        adopt_head(text, reply.m_version, now);
    }
    schedule_persist(m_settings.m_call_timeout, now);
}

void bundle_agent::on_table_failed(operation_id operation, core::time_point now)
{
    if (m_pending_read && m_pending_read->m_operation == operation)
    {
        m_pending_read.reset();
        ++m_consecutive_failed_reads;
        request_head_copy(now);
    }
    if (m_pending_write && m_pending_write->m_operation == operation)
    {
        // The next poll shows whether the write took effect. Writing a withdrawal twice is
        // harmless.
        m_pending_write.reset();
        schedule_persist(m_settings.m_max_persist_delay, now);
    }
}

void bundle_agent::on_object(operation_id operation, const std::string& bytes, core::time_point now)
{
    if (!m_pending_fetch || m_pending_fetch->m_operation != operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_pending_fetch, std::nullopt);
    if (call.m_object_or_row_text != head_copy_object)
    {
        accept_object(call.m_object_or_row_text, bytes, now);
        return;
    }
    if (!m_head)
    {
        m_head_copy = parse_head_row(bytes);
        fetch_target(now);
    }
}

void bundle_agent::on_object_failed(operation_id operation, core::time_point now)
{
    if (!m_pending_fetch || m_pending_fetch->m_operation != operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_pending_fetch, std::nullopt);
    m_fetcher.on_failed(call.m_object_or_row_text, now);
}

agent_state bundle_agent::state() const noexcept
{
    if (applied_version() == 0)
    {
        return agent_state::not_ready;
    }
    return m_has_been_ready ? agent_state::ready : agent_state::provisional;
}

key_check_result bundle_agent::check_key(const sha256_digest& digest, core::time_point now) const
{
    key_check_result check = m_keys.check(digest, now);
    if (state() != agent_state::ready && check.m_verdict != key_verdict::withdrawn)
    {
        check = {key_verdict::stale_state};
    }
    return check;
}

std::uint64_t bundle_agent::applied_version() const noexcept
{
    return m_keys.applied() ? m_keys.applied()->m_version : 0;
}

std::vector<bundle_agent::action> bundle_agent::take_actions()
{
    return std::exchange(m_actions, {});
}

std::optional<core::time_point> bundle_agent::next_deadline() const
{
    core::time_point next = m_pending_read ? m_pending_read->m_expires_at : m_next_poll_at;
    for (const std::optional<pending_call>& call : {m_pending_write, m_pending_fetch})
    {
        next = call ? std::min(next, call->m_expires_at) : next;
    }
    for (const std::optional<core::time_point>& each : {m_persist_at, m_fetcher.next_deadline()})
    {
        next = each ? std::min(next, *each) : next;
    }
    return next;
}

bundle_agent::pending_call bundle_agent::make_pending_call(core::time_point now,
                                                           std::string subject)
{
    return {operation_id{++m_last_operation}, now, now + m_settings.m_call_timeout,
            std::move(subject)};
}

void bundle_agent::read_head_row(bool version_only, core::time_point now)
{
    // Polls are spaced 3/4 to 5/4 of the interval apart, so that instances do not poll in sync.
    m_next_poll_at =
        now + m_settings.m_poll_interval * 3 / 4 + random_duration(m_settings.m_poll_interval / 2);
    m_pending_read = make_pending_call(now, {});
    m_actions.emplace_back(
        table_read{m_pending_read->m_operation, head_table, head_key, version_only});
}

void bundle_agent::adopt_head(const std::string& text, std::uint64_t revision, core::time_point now)
{
    head_row row = parse_head_row(text);
    TARRAGONTRAIL_INVARIANT(!m_head || row.m_current.m_version >= m_head->m_current.m_version,
                            "bundle head never reverts");
    m_head = std::move(row);
    m_head_text = text;
    m_head_revision = revision;
    for (const withdrawal& each : m_head->m_withdrawals)
    {
        merge_withdrawal(each, false, now);
    }
    m_has_been_ready = m_has_been_ready || has_target_applied();
    fetch_target(now);
}

void bundle_agent::record_table_confirmation(core::time_point requested_at)
{
    // A confirmation makes the keys fresh only if the bundle that the head row names is applied
    // here. One that arrives earlier counts once the bundle is applied.
    m_table_confirmed_at = requested_at;
    if (has_target_applied())
    {
        m_keys.freshness().on_table_confirmed(requested_at);
    }
}

void bundle_agent::request_head_copy(core::time_point now)
{
    if (m_head || m_head_copy || m_pending_fetch ||
        m_consecutive_failed_reads < failed_reads_before_head_copy)
    {
        return;
    }
    m_pending_fetch = make_pending_call(now, head_copy_object);
    m_actions.emplace_back(object_get{m_pending_fetch->m_operation, head_copy_object});
}

core::duration bundle_agent::random_duration(core::duration max_duration)
{
    return core::duration(static_cast<core::duration::rep>(
        m_random.below(static_cast<std::uint64_t>(max_duration.count()) + 1)));
}

} // namespace tarragontrail::config
