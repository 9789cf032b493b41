#include "tarragontrail/config/key_freshness.hpp"

#include <algorithm>

namespace tarragontrail::config {

void key_freshness::set_domains(const std::vector<core::failure_domain_id>& listed,
                                core::failure_domain_id own)
{
    m_domains_known = true;
    for (domain_contact& contact : m_domains)
    {
        contact.m_listed = false;
    }
    const bool has_other =
        std::any_of(listed.begin(), listed.end(), [own](auto domain) { return domain != own; });
    for (const core::failure_domain_id domain : listed)
    {
        contact_of(domain).m_listed = domain != own || !has_other;
    }
}

std::vector<core::failure_domain_id> key_freshness::listed_domains() const
{
    std::vector<core::failure_domain_id> listed;
    for (const domain_contact& contact : m_domains)
    {
        if (contact.m_listed)
        {
            listed.push_back(contact.m_domain);
        }
    }
    return listed;
}

void key_freshness::on_table_confirmed(core::time_point requested_at)
{
    if (!m_table_confirmed_at || *m_table_confirmed_at < requested_at)
    {
        m_table_confirmed_at = requested_at;
    }
}

void key_freshness::on_peer_freshness(const freshness_word& status, core::time_point requested_at)
{
    if (status.m_store_heard)
    {
        on_table_confirmed(requested_at - status.m_store_age);
    }
    record_contact(status.m_domain, requested_at);
    for (const domain_age& each : status.m_domains)
    {
        record_contact(each.m_domain, requested_at - each.m_age);
    }
}

freshness_state key_freshness::state(core::time_point now) const
{
    if (m_table_confirmed_at && now - *m_table_confirmed_at <= m_settings.m_max_age)
    {
        return freshness_state::table_confirmed;
    }
    const auto is_stale = [&](const domain_contact& contact) {
        return contact.m_listed &&
               (!contact.m_last_received || now - *contact.m_last_received > m_settings.m_max_age);
    };
    const bool any_stale = std::any_of(m_domains.begin(), m_domains.end(), is_stale);
    return m_domains_known && !any_stale ? freshness_state::peers_confirmed
                                         : freshness_state::stale;
}

std::optional<core::duration> key_freshness::table_confirmation_age(core::time_point now) const
{
    if (!m_table_confirmed_at)
    {
        return std::nullopt;
    }
    return now - *m_table_confirmed_at;
}

void key_freshness::fill_ages(freshness_word& status, core::time_point now) const
{
    using std::chrono::milliseconds;
    status.m_store_heard = m_table_confirmed_at.has_value();
    if (m_table_confirmed_at)
    {
        status.m_store_age = std::chrono::ceil<milliseconds>(now - *m_table_confirmed_at);
    }
    for (const domain_contact& contact : m_domains)
    {
        if (!contact.m_last_received || contact.m_domain == status.m_domain)
        {
            continue;
        }
        const core::duration age = now - *contact.m_last_received;
        if (age <= m_settings.m_max_age)
        {
            status.m_domains.push_back({contact.m_domain, std::chrono::ceil<milliseconds>(age)});
        }
    }
}

key_freshness::domain_contact& key_freshness::contact_of(core::failure_domain_id domain)
{
    const auto found =
        std::find_if(m_domains.begin(), m_domains.end(),
                     [&](const domain_contact& contact) { return contact.m_domain == domain; });
    return found != m_domains.end() ? *found
                                    : m_domains.emplace_back(domain_contact{domain, false, {}});
}

void key_freshness::record_contact(core::failure_domain_id domain, core::time_point received_at)
{
    domain_contact& contact = contact_of(domain);
    if (!contact.m_last_received || *contact.m_last_received < received_at)
    {
        contact.m_last_received = received_at;
    }
}

} // namespace tarragontrail::config
