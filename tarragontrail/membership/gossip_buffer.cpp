#include "tarragontrail/membership/gossip_buffer.hpp"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace tarragontrail::membership {

namespace {

constexpr std::size_t item_overhead_bytes = 20; ///< Encoded kind, key, order and payload length.

auto key_of(const gossip_item& item) noexcept
{
    return std::tuple(item.m_kind, item.m_key);
}

} // namespace

gossip_buffer::gossip_buffer(const gossip_buffer_settings& settings) : m_settings(settings) {}

bool gossip_buffer::add(gossip_item item)
{
    if (item.m_payload.size() > m_settings.m_max_payload_bytes)
    {
        throw gossip_error();
    }
    const auto place = std::lower_bound(m_entries.begin(), m_entries.end(), item,
                                        [](const entry& each, const gossip_item& added) {
                                            return key_of(each.m_item) < key_of(added);
                                        });
    if (place == m_entries.end() || key_of(place->m_item) != key_of(item))
    {
        m_entries.insert(place, {std::move(item), 0});
        evict_excess();
        return true;
    }
    if (place->m_item.m_order >= item.m_order)
    {
        return false;
    }
    *place = {std::move(item), 0};
    return true;
}

std::vector<gossip_item> gossip_buffer::take(std::size_t max_bytes, std::size_t members)
{
    const std::size_t limit = transmit_limit(m_settings.m_transmit_factor, members);
    std::vector<entry*> pending;
    for (entry& each : m_entries)
    {
        if (each.m_transmissions < limit)
        {
            pending.push_back(&each);
        }
    }
    m_pending_count = pending.size();
    std::stable_sort(pending.begin(), pending.end(), [](const entry* a, const entry* b) {
        return a->m_transmissions < b->m_transmissions;
    });

    std::vector<gossip_item> taken;
    std::size_t bytes = 0;
    for (entry* each : pending)
    {
        const std::size_t own = encoded_bytes(each->m_item);
        if (bytes + own > max_bytes)
        {
            continue;
        }
        bytes += own;
        ++each->m_transmissions;
        taken.push_back(each->m_item);
    }
    return taken;
}

void gossip_buffer::evict_excess()
{
    if (m_entries.size() <= m_settings.m_max_items)
    {
        return;
    }
    const auto most_sent =
        std::max_element(m_entries.begin(), m_entries.end(), [](const entry& a, const entry& b) {
            return a.m_transmissions < b.m_transmissions;
        });
    m_entries.erase(most_sent);
}

std::size_t transmit_limit(std::size_t factor, std::size_t members) noexcept
{
    return factor * static_cast<std::size_t>(std::bit_width(members));
}

std::size_t encoded_bytes(const gossip_item& item) noexcept
{
    return item_overhead_bytes + item.m_payload.size();
}

} // namespace tarragontrail::membership
