// Part of bundle_agent that fetches and applies bundles.
#include "tarragontrail/config/bundle_agent.hpp"
#include "tarragontrail/config/bundle_delta.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <memory>
#include <utility>

namespace tarragontrail::config {

const bundle_ref* bundle_agent::target() const noexcept
{
    const std::optional<head_row>& row = m_head ? m_head : m_head_copy;
    return row ? &row->target_for(m_failure_domain) : nullptr;
}

bool bundle_agent::has_target_applied() const noexcept
{
    return m_head && applied_version() > 0 && applied_version() >= target()->m_version;
}

void bundle_agent::fetch_target(core::time_point now)
{
    const bundle_ref* target_ref = target();
    if (target_ref == nullptr || target_ref->m_version <= applied_version())
    {
        m_fetcher.cancel();
        return;
    }
    m_fetcher.set_target(*target_ref, applied_version(), now);
}

void bundle_agent::start_fetch_attempt(core::time_point now)
{
    const std::optional<fetch_attempt> attempt = m_fetcher.next_attempt(now);
    if (!attempt)
    {
        return;
    }
    if (attempt->m_peer)
    {
        m_actions.emplace_back(send_bundle_request{*attempt->m_peer, {m_self, attempt->m_object}});
        return;
    }
    m_pending_fetch = make_pending_call(now, attempt->m_object);
    m_pending_fetch->m_expires_at = now + m_settings.m_fetcher.m_document_timeout;
    m_actions.emplace_back(object_get{m_pending_fetch->m_operation, attempt->m_object});
}

void bundle_agent::accept_object(const std::string& object, const std::string& bytes,
                                 core::time_point now)
{
    if (!m_fetcher.is_target_object(object))
    {
        return;
    }
    if (!matches_object_name(object, bytes))
    {
        m_fetcher.on_failed(object, now);
        return;
    }
    const bool was_delta = m_fetcher.uses_delta();
    try
    {
        bundle next = read_document(bytes);
        m_applied_object = m_fetcher.target()->m_object;
        m_delta_object = was_delta ? object : std::string();
        m_delta_text = was_delta ? bytes : std::string();
        apply(std::move(next), now);
    }
    catch (const bundle_error&)
    {
        // A delta may not match the applied bundle; the whole document is always applicable.
        was_delta ? m_fetcher.abandon_delta(now) : m_fetcher.on_failed(object, now);
    }
}

bundle bundle_agent::read_document(const std::string& bytes) const
{
    const bundle_ref& target_ref = *m_fetcher.target();
    if (!m_fetcher.uses_delta())
    {
        bundle parsed = parse_bundle(bytes);
        if (parsed.m_version != target_ref.m_version)
        {
            throw bundle_error("/version", "does not match the version in the head row");
        }
        return parsed;
    }
    bundle changed = apply_delta(*m_keys.applied(), bytes);
    if (object_name("bundle", serialize(changed)) != target_ref.m_object)
    {
        throw bundle_error("", "the delta does not produce the target bundle");
    }
    return changed;
}

void bundle_agent::apply(bundle next, core::time_point now)
{
    TARRAGONTRAIL_INVARIANT(next.m_version > applied_version(),
                            "applied bundle version only grows");
    const std::uint64_t version = next.m_version;
    m_keys.apply(std::make_shared<const bundle>(std::move(next)));
    m_has_been_ready = m_has_been_ready || has_target_applied();
    if (m_table_confirmed_at)
    {
        record_table_confirmation(*m_table_confirmed_at);
    }
    m_actions.emplace_back(bundle_applied{version});
    fetch_target(now);
}

void bundle_agent::on_bundle_request(const bundle_request& request, core::time_point /*now*/)
{
    bundle_answer answer{m_self, request.m_object, {}};
    if (!m_delta_object.empty() && request.m_object == m_delta_object)
    {
        answer.m_bytes = m_delta_text;
    }
    else if (m_keys.applied() && request.m_object == m_applied_object)
    {
        answer.m_bytes = serialize(*m_keys.applied());
    }
    m_actions.emplace_back(send_bundle_answer{request.m_sender, std::move(answer)});
}

void bundle_agent::on_bundle_answer(const bundle_answer& answer, core::time_point now)
{
    if (answer.m_bytes.empty())
    {
        m_fetcher.on_failed(answer.m_object, now);
        return;
    }
    accept_object(answer.m_object, answer.m_bytes, now);
}

} // namespace tarragontrail::config
