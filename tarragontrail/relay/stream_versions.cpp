#include "tarragontrail/relay/stream_versions.hpp"

#include "tarragontrail/core/hash.hpp"

#include <utility>

namespace tarragontrail::relay {

const char* to_string(version_evidence evidence) noexcept
{
    switch (evidence)
    {
    case version_evidence::memory:
        return "memory";
    case version_evidence::plan:
        return "plan";
    case version_evidence::single:
        return "single";
    case version_evidence::none:
        return "none";
    }
    return "unknown";
}

bool stream_versions::set_plan(const std::string& service, version_plan plan, core::time_point now)
{
    const auto found = m_plans.find(service);
    if (found != m_plans.end() && plan.number() <= found->second.number())
    {
        return false;
    }
    for (const auto& [key, begun] : m_begun)
    {
        const bool is_recent = begun.m_own && now - begun.m_at <= m_settings.m_announced_time &&
                               key == key_of(service, *begun.m_own);
        if (is_recent && plan.version_of_new(*begun.m_own) != begun.m_version)
        {
            m_announcements.push_back({key, begun.m_version});
        }
    }
    m_plans.insert_or_assign(service, std::move(plan));
    return true;
}

const version_plan* stream_versions::plan_of(const std::string& service) const
{
    const auto found = m_plans.find(service);
    return found == m_plans.end() ? nullptr : &found->second;
}

bool stream_versions::is_in_contact(core::time_point now) const
{
    return m_last_contact && now - *m_last_contact <= m_settings.m_contact_limit;
}

/// Time from which on a plan may have been used for a stream of this age.
std::optional<store_time> stream_versions::earliest(core::duration max_age,
                                                    core::time_point now) const
{
    const auto time = store_time_at(now);
    if (!time)
    {
        return std::nullopt;
    }
    return *time - std::chrono::ceil<store_time>(max_age) - m_settings.m_plan_lag;
}

bool stream_versions::has_moved(const version_plan& plan, stream_id stream, core::duration max_age,
                                core::time_point now) const
{
    const store_time since = earliest(max_age, now).value_or(store_time::min());
    return since < plan.whole_since() || plan.possible_versions(stream, since).size() > 1;
}

void stream_versions::on_era(std::uint64_t era, core::time_point now)
{
    if (era > m_era)
    {
        m_era = era;
        m_era_since = now;
    }
}

bool stream_versions::may_have_lost_plans(core::time_point now) const
{
    return m_era > core::first_era && now - m_era_since <= m_settings.m_announced_time;
}

std::optional<software_version>
stream_versions::only_version(const std::set<software_version>& present, core::time_point now) const
{
    return present.size() == 1 && !may_have_lost_plans(now) ? std::make_optional(*present.begin())
                                                            : std::nullopt;
}

std::optional<software_version>
stream_versions::version_of_new(const std::string& service, stream_id stream,
                                const std::set<software_version>& present,
                                core::time_point now) const
{
    const version_plan* plan = plan_of(service);
    if (plan == nullptr)
    {
        // Until the first plan all streams begin at the only version.
        return only_version(present, now);
    }
    const bool is_mixed = present.size() > 1 || plan->shares().size() > 1 ||
                          has_moved(*plan, stream, m_settings.m_announced_time, now);
    if (is_mixed && !is_in_contact(now))
    {
        return std::nullopt;
    }
    return plan->version_of_new(stream);
}

void stream_versions::on_begun(const std::string& service, stream_id stream,
                               const software_version& version, core::time_point now)
{
    const std::uint64_t key = key_of(service, stream);
    remember(key, {version, now, stream});
    const version_plan* plan = plan_of(service);
    if (plan != nullptr && has_moved(*plan, stream, m_settings.m_announced_time, now))
    {
        m_announcements.push_back({key, version});
    }
}

void stream_versions::on_announced(const begun_stream& begun, core::time_point now)
{
    remember(begun.m_stream, {begun.m_version, now, std::nullopt});
}

std::vector<begun_stream> stream_versions::take_announcements()
{
    return std::exchange(m_announcements, {});
}

void stream_versions::remember(std::uint64_t key, remembered_stream begun)
{
    while (!m_order.empty() && (m_order.size() >= m_settings.m_memory_limit ||
                                begun.m_at - m_order.front().m_at > m_settings.m_memory))
    {
        const auto found = m_begun.find(m_order.front().m_key);
        if (found != m_begun.end() && found->second.m_at == m_order.front().m_at)
        {
            m_begun.erase(found);
        }
        m_order.pop_front();
    }
    m_order.push_back({key, begun.m_at});
    m_begun.insert_or_assign(key, std::move(begun));
}

stream_origin stream_versions::origin(const std::string& service, std::optional<stream_id> stream,
                                      const std::set<software_version>& present,
                                      core::duration max_age, core::time_point now) const
{
    const auto known = stream ? m_begun.find(key_of(service, *stream)) : m_begun.end();
    if (known != m_begun.end() && now - known->second.m_at <= m_settings.m_memory)
    {
        return {known->second.m_version, version_evidence::memory};
    }
    const version_plan* plan = plan_of(service);
    if (!is_in_contact(now))
    {
        // Upstreams of a version that is not known here may have joined.
        return {};
    }
    if (plan == nullptr)
    {
        const auto only = only_version(present, now);
        return only ? stream_origin{only, version_evidence::single} : stream_origin{};
    }
    const store_time since = earliest(max_age, now).value_or(store_time::min());
    if (since < plan->whole_since())
    {
        return {};
    }
    const std::vector<software_version> possible =
        stream ? plan->possible_versions(*stream, since) : plan->all_versions(since);
    if (possible.size() != 1)
    {
        return {};
    }
    return {possible.front(), version_evidence::plan};
}

std::uint64_t stream_versions::plan_number(const std::string& service) const
{
    const version_plan* plan = plan_of(service);
    return plan == nullptr ? 0 : plan->number();
}

std::optional<core::duration> stream_versions::contact_age(core::time_point now) const
{
    return m_last_contact ? std::make_optional(now - *m_last_contact) : std::nullopt;
}

bool stream_versions::remembers(const std::string& service, stream_id stream,
                                core::time_point now) const
{
    const auto known = m_begun.find(key_of(service, stream));
    return known != m_begun.end() && now - known->second.m_at <= m_settings.m_memory;
}

bool stream_versions::is_informed(const std::string& service, core::time_point now) const
{
    return plan_of(service) != nullptr && is_in_contact(now);
}

std::uint64_t stream_versions::key_of(const std::string& service, stream_id stream)
{
    return core::hash_pair(core::hash_name(service), core::value_of(stream));
}

} // namespace tarragontrail::relay
