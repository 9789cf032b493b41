#include "tarragontrail/config/key_freshness.hpp"

#include <algorithm>

namespace tarragontrail::config {

void key_freshness::set_domains(const std::vector<core::failure_domain_id>& listed,
                                core::failure_domain_id own)
{
    m_list_known = true;
    for (domain_mark& mark : m_domains)
    {
        mark.m_listed = false;
    }
    const bool has_other =
        std::any_of(listed.begin(), listed.end(), [own](auto domain) { return domain != own; });
    for (const core::failure_domain_id domain : listed)
    {
        mark_of(domain).m_listed = domain != own || !has_other;
    }
}

std::vector<core::failure_domain_id> key_freshness::listed_domains() const
{
    std::vector<core::failure_domain_id> listed;
    for (const domain_mark& mark : m_domains)
    {
        if (mark.m_listed)
        {
            listed.push_back(mark.m_domain);
        }
    }
    return listed;
}

void key_freshness::on_table_confirmed(core::time_point asked_at)
{
    if (!m_store_heard_at || *m_store_heard_at < asked_at)
    {
        m_store_heard_at = asked_at;
    }
}

void key_freshness::on_peer_freshness(const freshness_word& word, core::time_point asked_at)
{
    if (word.m_store_heard)
    {
        on_table_confirmed(asked_at - word.m_store_age);
    }
    mark_domain(word.m_domain, asked_at);
    for (const domain_age& each : word.m_domains)
    {
        mark_domain(each.m_domain, asked_at - each.m_age);
    }
}

freshness_state key_freshness::state(core::time_point now) const
{
    if (m_store_heard_at && now - *m_store_heard_at <= m_settings.m_max_age)
    {
        return freshness_state::table_confirmed;
    }
    const auto is_silent = [&](const domain_mark& mark) {
        return mark.m_listed && (!mark.m_heard_at || now - *mark.m_heard_at > m_settings.m_max_age);
    };
    const bool any_silent = std::any_of(m_domains.begin(), m_domains.end(), is_silent);
    return m_list_known && !any_silent ? freshness_state::peers_confirmed : freshness_state::stale;
}

std::optional<core::duration> key_freshness::table_confirmation_age(core::time_point now) const
{
    if (!m_store_heard_at)
    {
        return std::nullopt;
    }
    return now - *m_store_heard_at;
}

void key_freshness::fill(freshness_word& word, core::time_point now) const
{
    using std::chrono::milliseconds;
    word.m_store_heard = m_store_heard_at.has_value();
    if (m_store_heard_at)
    {
        word.m_store_age = std::chrono::ceil<milliseconds>(now - *m_store_heard_at);
    }
    for (const domain_mark& mark : m_domains)
    {
        if (!mark.m_heard_at || mark.m_domain == word.m_domain)
        {
            continue;
        }
        const core::duration age = now - *mark.m_heard_at;
        if (age <= m_settings.m_max_age)
        {
            word.m_domains.push_back({mark.m_domain, std::chrono::ceil<milliseconds>(age)});
        }
    }
}

key_freshness::domain_mark& key_freshness::mark_of(core::failure_domain_id domain)
{
    const auto found =
        std::find_if(m_domains.begin(), m_domains.end(),
                     [&](const domain_mark& mark) { return mark.m_domain == domain; });
    return found != m_domains.end() ? *found
                                    : m_domains.emplace_back(domain_mark{domain, false, {}});
}

void key_freshness::mark_domain(core::failure_domain_id domain, core::time_point heard_at)
{
    domain_mark& mark = mark_of(domain);
    if (!mark.m_heard_at || *mark.m_heard_at < heard_at)
    {
        mark.m_heard_at = heard_at;
    }
}

} // namespace tarragontrail::config
