#include "tarragontrail/relay/exchange_cells.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace tarragontrail::relay {
namespace {

/// Alive instance with the highest rank for a key.
std::optional<core::instance_id> highest_ranked(const std::vector<core::instance_id>& members,
                                                std::uint64_t key,
                                                const exchange_cells::is_alive_function& is_alive)
{
    std::optional<core::instance_id> best;
    std::uint64_t best_rank = 0;
    for (const core::instance_id each : members)
    {
        if (!is_alive(each))
        {
            continue;
        }
        const std::uint64_t rank = core::hash_pair(key, core::value_of(each));
        if (!best || rank > best_rank)
        {
            best = each;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace

void exchange_cells::set_members(const std::map<core::instance_id, fleet_member>& members)
{
    std::map<std::string, std::size_t> region_sizes;
    std::map<std::pair<std::string, std::string>, std::size_t> domain_sizes;
    for (const auto& [instance, member] : members)
    {
        ++region_sizes[member.m_region];
        ++domain_sizes[{member.m_region, member.m_failure_domain}];
    }
    std::map<std::string, exchange_cell> cells;
    std::string own_name;
    for (const auto& [instance, member] : members)
    {
        std::string name = member.m_region;
        if (region_sizes[member.m_region] > m_settings.m_max_size)
        {
            name += "/" + member.m_failure_domain;
            const std::size_t size = domain_sizes[{member.m_region, member.m_failure_domain}];
            if (size > m_settings.m_max_size)
            {
                // A power of two splits cells in halves when the fleet has grown and moves no
                // instance to another one of the old cells.
                const std::size_t parts =
                    std::bit_ceil((size + m_settings.m_split_size - 1) / m_settings.m_split_size);
                name += "/" + std::to_string(core::hash_pair(core::value_of(instance), 0) % parts);
            }
        }
        exchange_cell& cell = cells[name];
        cell.m_name = name;
        cell.m_region = member.m_region;
        cell.m_members.push_back(instance);
        if (instance == m_self)
        {
            own_name = name;
        }
    }
    m_own = std::move(cells[own_name]);
    cells.erase(own_name);
    m_others = std::move(cells);
}

bool exchange_cells::is_in_own(core::instance_id instance) const
{
    return std::binary_search(m_own.m_members.begin(), m_own.m_members.end(), instance);
}

core::instance_id exchange_cells::speaker(const is_alive_function& is_alive) const
{
    return highest_ranked(m_own.m_members, core::hash_bytes(m_own.m_name), is_alive)
        .value_or(m_self);
}

std::optional<core::instance_id>
exchange_cells::receiver_in(const exchange_cell& cell, const is_alive_function& is_alive) const
{
    return highest_ranked(cell.m_members, core::hash_bytes(m_own.m_name), is_alive);
}

} // namespace tarragontrail::relay
