#include "tarragontrail/config/bundle_agent.hpp"

#include "tarragontrail/config/bundle_delta.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::config {

namespace {

constexpr std::size_t reads_before_hint = 2; ///< Failed reads before the object store is asked.

} // namespace

bundle_agent::bundle_agent(const bundle_agent_settings& settings, core::instance_id self,
                           std::string failure_domain, key_table& keys, std::uint64_t seed)
    : m_settings(settings), m_self(self), m_failure_domain(std::move(failure_domain)), m_keys(keys),
      m_random(seed), m_fetch(settings.m_fetch, m_random())
{}

void bundle_agent::start(core::time_point now)
{
    m_next_poll = now + random_duration(m_settings.m_poll_interval / 4);
}

void bundle_agent::on_timer(core::time_point now)
{
    if (m_read && m_read->m_expires_at <= now)
    {
        on_table_failed(m_read->m_operation, now);
    }
    if (m_write && m_write->m_expires_at <= now)
    {
        on_table_failed(m_write->m_operation, now);
    }
    if (m_object && m_object->m_expires_at <= now)
    {
        on_object_failed(m_object->m_operation, now);
    }
    if (!m_read && m_next_poll <= now)
    {
        read_head_row(m_head.has_value(), now);
    }
    if (m_persist_at && *m_persist_at <= now)
    {
        persist_withdrawals(now);
    }
    make_attempt(now);
}

void bundle_agent::on_table_read(const read_reply& reply, core::time_point now)
{
    if (!m_read || m_read->m_operation != reply.m_operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_read, std::nullopt);
    m_failed_reads = 0;
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
    confirm_store(call.m_asked_at);
}

void bundle_agent::on_table_written(const write_reply& reply, core::time_point now)
{
    if (!m_write || m_write->m_operation != reply.m_operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_write, std::nullopt);
    const std::string& text = reply.m_ok ? call.m_subject : reply.m_value;
    if (reply.m_version > m_head_revision)
    {
        adopt_head(text, reply.m_version, now);
    }
    plan_persist(m_settings.m_call_timeout, now);
}

void bundle_agent::on_table_failed(operation_id operation, core::time_point now)
{
    if (m_read && m_read->m_operation == operation)
    {
        m_read.reset();
        ++m_failed_reads;
        ask_for_hint(now);
    }
    if (m_write && m_write->m_operation == operation)
    {
        // Whether it took effect shows at the next poll; a withdrawal written twice is harmless.
        m_write.reset();
        plan_persist(m_settings.m_persist_delay, now);
    }
}

void bundle_agent::on_object(operation_id operation, const std::string& bytes, core::time_point now)
{
    if (!m_object || m_object->m_operation != operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_object, std::nullopt);
    if (call.m_subject != recent_object)
    {
        accept_object(call.m_subject, bytes, now);
        return;
    }
    if (!m_head)
    {
        m_hint = read_head(bytes);
        fetch_target(now);
    }
}

void bundle_agent::on_object_failed(operation_id operation, core::time_point now)
{
    if (!m_object || m_object->m_operation != operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_object, std::nullopt);
    m_fetch.on_failed(call.m_subject, now);
}

agent_state bundle_agent::state() const noexcept
{
    if (applied_version() == 0)
    {
        return agent_state::not_ready;
    }
    return m_was_ready ? agent_state::ready : agent_state::provisional;
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
    core::time_point next = m_read ? m_read->m_expires_at : m_next_poll;
    for (const std::optional<pending_call>& call : {m_write, m_object})
    {
        next = call ? std::min(next, call->m_expires_at) : next;
    }
    for (const std::optional<core::time_point>& each : {m_persist_at, m_fetch.next_deadline()})
    {
        next = each ? std::min(next, *each) : next;
    }
    return next;
}

bundle_agent::pending_call bundle_agent::make_call(core::time_point now, std::string subject)
{
    return {operation_id{++m_last_operation}, now, now + m_settings.m_call_timeout,
            std::move(subject)};
}

void bundle_agent::read_head_row(bool version_only, core::time_point now)
{
    // A poll comes at three quarters to five quarters of the interval, so that instances spread.
    m_next_poll =
        now + m_settings.m_poll_interval * 3 / 4 + random_duration(m_settings.m_poll_interval / 2);
    m_read = make_call(now, {});
    m_actions.emplace_back(table_read{m_read->m_operation, head_table, head_key, version_only});
}

void bundle_agent::adopt_head(const std::string& text, std::uint64_t revision, core::time_point now)
{
    head_row row = read_head(text);
    TARRAGONTRAIL_INVARIANT(!m_head || row.m_current.m_version >= m_head->m_current.m_version,
                            "bundle head never reverts");
    m_head = std::move(row);
    m_head_text = text;
    m_head_revision = revision;
    for (const withdrawal& each : m_head->m_withdrawals)
    {
        merge_withdrawal(each, false, now);
    }
    m_was_ready = m_was_ready || is_current();
    fetch_target(now);
}

void bundle_agent::confirm_store(core::time_point asked_at)
{
    // The word vouches for keys only while the bundle that it names is the one in force here; one
    // that came before the bundle counts once the bundle is applied.
    m_store_word_at = asked_at;
    if (is_current())
    {
        m_keys.freshness().on_table_confirmed(asked_at);
    }
}

void bundle_agent::ask_for_hint(core::time_point now)
{
    if (m_head || m_hint || m_object || m_failed_reads < reads_before_hint)
    {
        return;
    }
    m_object = make_call(now, recent_object);
    m_actions.emplace_back(object_get{m_object->m_operation, recent_object});
}

core::duration bundle_agent::random_duration(core::duration longest)
{
    return core::duration(static_cast<core::duration::rep>(
        m_random.below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

} // namespace tarragontrail::config
