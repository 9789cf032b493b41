#include "tarragontrail/relay/instance_registry.hpp"

#include <algorithm>
#include <array>

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

void instance_registry::remove(core::instance_id instance, core::time_point now)
{
    if (instance == m_self.m_instance || is_alive(instance, now))
    {
        return;
    }
    m_members.erase(instance);
    m_statuses.erase(instance);
}

bool instance_registry::on_status(core::instance_id instance, const instance_status& status,
                                  core::time_point now)
{
    const auto known = m_statuses.find(instance);
    const bool restarted =
        known != m_statuses.end() && known->second.m_status.m_started != status.m_started;
    const core::time_point leaving_since = known != m_statuses.end() && !restarted
                                               ? known->second.m_leaving_since
                                               : core::time_point::max();
    m_statuses[instance] = received_status{
        status, now, status.m_leaving ? std::min(leaving_since, now) : core::time_point::max()};
    return restarted;
}

void instance_registry::set_own_status(const instance_status& status, core::time_point now)
{
    m_own_status = status;
    m_own_leaving_since =
        status.m_leaving ? std::min(m_own_leaving_since, now) : core::time_point::max();
}

bool instance_registry::is_alive(core::instance_id instance, core::time_point now) const
{
    if (instance == m_self.m_instance)
    {
        return !m_own_status.m_leaving;
    }
    return is_present(instance, now) && !m_statuses.at(instance).m_status.m_leaving;
}

bool instance_registry::is_present(core::instance_id instance, core::time_point now) const
{
    if (instance == m_self.m_instance)
    {
        return true;
    }
    const auto known = m_statuses.find(instance);
    return known != m_statuses.end() && now - known->second.m_received <= m_settings.m_peer_timeout;
}

bool instance_registry::is_present(core::instance_id instance, core::incarnation started,
                                   core::time_point now) const
{
    if (instance == m_self.m_instance)
    {
        return started == m_self.m_started;
    }
    return is_present(instance, now) && m_statuses.at(instance).m_status.m_started == started;
}

bool instance_registry::is_heard_lately(core::instance_id instance, core::incarnation started,
                                        core::time_point now) const
{
    return is_present(instance, started, now) &&
           (instance == m_self.m_instance ||
            now - m_statuses.at(instance).m_received <= m_settings.m_peer_timeout / 2);
}

bool instance_registry::has_restarted(core::instance_id instance, core::incarnation started,
                                      core::time_point now) const
{
    return is_present(instance, now) && !is_present(instance, started, now);
}

bool instance_registry::is_ready(core::instance_id instance, core::time_point now) const
{
    if (!is_alive(instance, now))
    {
        return false;
    }
    if (instance == m_self.m_instance)
    {
        return m_own_status.m_ready;
    }
    return m_statuses.at(instance).m_status.m_ready;
}

bool instance_registry::reaches_upstreams(core::instance_id instance, core::time_point now) const
{
    if (!is_ready(instance, now))
    {
        return false;
    }
    const instance_status& status =
        instance == m_self.m_instance ? m_own_status : m_statuses.at(instance).m_status;
    return status.m_cut_off.empty();
}

std::optional<core::instance_id>
instance_registry::peer_reaching(std::uint64_t service, const std::vector<core::instance_id>& tried,
                                 std::uint64_t draw, core::time_point now) const
{
    std::array<std::vector<core::instance_id>, 3> by_distance;
    for (const auto& [instance, member] : m_members)
    {
        if (instance == m_self.m_instance || !is_ready(instance, now) ||
            std::find(tried.begin(), tried.end(), instance) != tried.end())
        {
            continue;
        }
        const std::vector<std::uint64_t>& cut_off = m_statuses.at(instance).m_status.m_cut_off;
        if (std::find(cut_off.begin(), cut_off.end(), service) != cut_off.end())
        {
            continue;
        }
        const std::size_t distance = member.m_failure_domain == m_self.m_failure_domain ? 0
                                     : member.m_region == m_self.m_region               ? 1
                                                                                        : 2;
        by_distance[distance].push_back(instance);
    }
    for (const std::vector<core::instance_id>& peers : by_distance)
    {
        if (!peers.empty())
        {
            return peers[draw % peers.size()];
        }
    }
    return std::nullopt;
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

bool instance_registry::hears_all(core::time_point now) const
{
    return std::all_of(m_members.begin(), m_members.end(),
                       [this, now](const auto& entry) { return is_present(entry.first, now); });
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

std::optional<core::instance_id>
instance_registry::first_for_duties(core::time_point now,
                                    const std::optional<core::instance_id>& except) const
{
    for (const auto& [instance, member] : m_members)
    {
        if (instance != except && is_ready(instance, now))
        {
            return instance;
        }
    }
    for (const auto& [instance, member] : m_members)
    {
        if (instance == except || !is_present(instance, now))
        {
            continue;
        }
        const core::time_point leaving_since = instance == m_self.m_instance
                                                   ? m_own_leaving_since
                                                   : m_statuses.at(instance).m_leaving_since;
        if (leaving_since <= now && now - leaving_since < m_settings.m_last_duties)
        {
            return instance;
        }
    }
    return std::nullopt;
}

bool instance_registry::is_store_reader(core::time_point now) const
{
    std::size_t readers_before = 0;
    for (const auto& [instance, member] : m_members)
    {
        if (instance == m_self.m_instance || readers_before >= m_settings.m_store_readers)
        {
            break;
        }
        const bool is_reader = member.m_region == m_self.m_region && is_alive(instance, now) &&
                               m_statuses.at(instance).m_status.m_table_store_reachable;
        readers_before += is_reader ? 1 : 0;
    }
    return readers_before < m_settings.m_store_readers;
}

const instance_status* instance_registry::status_of(core::instance_id instance) const
{
    const auto known = m_statuses.find(instance);
    return known == m_statuses.end() ? nullptr : &known->second.m_status;
}

std::vector<turn_member> instance_registry::turn_members(core::time_point now)
{
    std::vector<turn_member> members;
    for (const auto& [instance, member] : m_members)
    {
        const bool is_heard = instance == m_self.m_instance || is_alive(instance, now);
        const auto status = m_statuses.find(instance);
        const core::time_point last = status != m_statuses.end()
                                          ? status->second.m_received
                                          : m_known_since.try_emplace(instance, now).first->second;
        if (is_heard || now - last <= m_settings.m_turn_retention)
        {
            members.push_back({instance, is_heard});
        }
    }
    return members;
}

std::vector<std::string> instance_registry::addresses_for(const caller_locality& caller,
                                                          core::time_point now) const
{
    const bool has_reaching =
        std::any_of(m_members.begin(), m_members.end(),
                    [this, now](const auto& entry) { return reaches_upstreams(entry.first, now); });
    std::vector<std::string> domain;
    std::vector<std::string> region;
    std::vector<std::string> all;
    for (const auto& [instance, member] : m_members)
    {
        if (!is_ready(instance, now) || (has_reaching && !reaches_upstreams(instance, now)))
        {
            continue;
        }
        all.push_back(member.m_caller_address);
        if (member.m_region == caller.m_region)
        {
            region.push_back(member.m_caller_address);
        }
        if (member.m_failure_domain == caller.m_failure_domain)
        {
            domain.push_back(member.m_caller_address);
        }
    }
    std::vector<std::string>& chosen = domain.size() >= m_settings.m_min_nearby   ? domain
                                       : region.size() >= m_settings.m_min_nearby ? region
                                                                                  : all;
    if (chosen.size() > m_settings.m_max_addresses)
    {
        chosen.resize(m_settings.m_max_addresses);
    }
    return chosen;
}

} // namespace tarragontrail::relay
