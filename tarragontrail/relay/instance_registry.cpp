#include "tarragontrail/relay/instance_registry.hpp"

#include <algorithm>

namespace tarragontrail::relay {

instance_registry::instance_registry(fleet_member self, instance_registry_settings settings)
    : m_self(std::move(self)), m_settings(settings)
{
    m_members[m_self.m_instance] = m_self;
}

bool instance_registry::apply(const fleet_member& member)
{
    if (member.m_instance == m_self.m_instance)
    {
        return false;
    }
    fleet_member& known = m_members[member.m_instance];
    if (known == member)
    {
        return false;
    }
    known = member;
    return true;
}

void instance_registry::remove(core::instance_id instance)
{
    if (instance == m_self.m_instance)
    {
        return;
    }
    m_members.erase(instance);
    m_words.erase(instance);
}

bool instance_registry::on_word(core::instance_id instance, const member_word& word,
                                core::time_point now)
{
    const auto known = m_words.find(instance);
    const bool anew = known != m_words.end() && known->second.m_word.m_started != word.m_started;
    m_words[instance] = heard_word{word, now};
    return anew;
}

bool instance_registry::is_alive(core::instance_id instance, core::time_point now) const
{
    if (instance == m_self.m_instance)
    {
        return !m_own_word.m_leaving;
    }
    const auto heard = m_words.find(instance);
    return heard != m_words.end() && !heard->second.m_word.m_leaving &&
           now - heard->second.m_at <= m_settings.m_silence;
}

bool instance_registry::is_ready(core::instance_id instance, core::time_point now) const
{
    if (!is_alive(instance, now))
    {
        return false;
    }
    if (instance == m_self.m_instance)
    {
        return m_own_word.m_ready;
    }
    return m_words.at(instance).m_word.m_ready;
}

std::size_t instance_registry::alive_count(core::time_point now) const
{
    std::size_t count = 0;
    for (const auto& [instance, member] : m_members)
    {
        count += is_alive(instance, now) ? 1 : 0;
    }
    return count;
}

std::optional<core::instance_id> instance_registry::first_ready(core::time_point now) const
{
    for (const auto& [instance, member] : m_members)
    {
        if (is_ready(instance, now))
        {
            return instance;
        }
    }
    return std::nullopt;
}

std::optional<core::instance_id> instance_registry::speaker_of(const std::string& region,
                                                               core::time_point now) const
{
    for (const auto& [instance, member] : m_members)
    {
        if (member.m_region == region && is_alive(instance, now))
        {
            return instance;
        }
    }
    return std::nullopt;
}

bool instance_registry::is_reader(core::time_point now) const
{
    std::size_t before = 0;
    for (const auto& [instance, member] : m_members)
    {
        if (instance == m_self.m_instance || before >= m_settings.m_readers)
        {
            break;
        }
        const bool reads = member.m_region == m_self.m_region && is_alive(instance, now) &&
                           m_words.at(instance).m_word.m_store_reached;
        before += reads ? 1 : 0;
    }
    return before < m_settings.m_readers;
}

const member_word* instance_registry::word_of(core::instance_id instance) const
{
    const auto heard = m_words.find(instance);
    return heard == m_words.end() ? nullptr : &heard->second.m_word;
}

std::vector<std::string> instance_registry::addresses_for(const caller_locality& place,
                                                          core::time_point now) const
{
    std::vector<std::string> domain;
    std::vector<std::string> region;
    std::vector<std::string> all;
    for (const auto& [instance, member] : m_members)
    {
        if (!is_ready(instance, now))
        {
            continue;
        }
        all.push_back(member.m_caller_address);
        if (member.m_region == place.m_region)
        {
            region.push_back(member.m_caller_address);
        }
        if (member.m_failure_domain == place.m_failure_domain)
        {
            domain.push_back(member.m_caller_address);
        }
    }
    std::vector<std::string>& chosen = domain.size() >= m_settings.m_enough_near   ? domain
                                       : region.size() >= m_settings.m_enough_near ? region
                                                                                   : all;
    if (chosen.size() > m_settings.m_most_addresses)
    {
        chosen.resize(m_settings.m_most_addresses);
    }
    return chosen;
}

} // namespace tarragontrail::relay
