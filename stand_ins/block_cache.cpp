#include "stand_ins/block_cache.hpp"

#include <algorithm>
#include <unordered_set>

namespace tarragontrail::stand_ins {

std::size_t block_cache::count_prefix(std::span<const std::uint64_t> blocks) const
{
    const auto missing = std::find_if(blocks.begin(), blocks.end(), [this](std::uint64_t hash) {
        return !m_entries.contains(hash);
    });
    return static_cast<std::size_t>(missing - blocks.begin());
}

std::size_t block_cache::use_prefix(std::span<const std::uint64_t> blocks)
{
    const std::size_t depth = count_prefix(blocks);
    for (std::size_t i = depth; i-- > 0;)
    {
        m_order.splice(m_order.begin(), m_order, m_entries.at(blocks[i]).m_order);
    }
    return depth;
}

cache_change block_cache::store(std::uint64_t salt, std::span<const std::uint64_t> blocks)
{
    cache_change change;
    const std::size_t depth = std::min(blocks.size(), m_capacity);
    for (std::size_t i = depth; i-- > 0;)
    {
        put(salt, {blocks[i], i == 0 ? salt : blocks[i - 1]}, change);
    }
    evict_excess(change);
    return change;
}

bool block_cache::store_links(std::uint64_t salt, std::span<const block_link> links,
                              cache_change& change)
{
    std::unordered_set<std::uint64_t> known{salt};
    for (const block_link& link : links)
    {
        const auto cached = m_entries.find(link.m_parent);
        const bool on_cached = cached != m_entries.end() && cached->second.m_salt == salt;
        if (!known.contains(link.m_parent) && !on_cached)
        {
            return false;
        }
        known.insert(link.m_hash);
    }
    for (std::size_t i = std::min(links.size(), m_capacity); i-- > 0;)
    {
        put(salt, links[i], change);
    }
    evict_excess(change);
    return true;
}

std::vector<block_link> block_cache::find_links(std::uint64_t salt,
                                                std::span<const std::uint64_t> blocks) const
{
    std::vector<block_link> links;
    for (const std::uint64_t hash : blocks)
    {
        const auto found = m_entries.find(hash);
        if (found != m_entries.end() && found->second.m_salt == salt)
        {
            links.push_back({hash, found->second.m_parent});
        }
    }
    return links;
}

cache_change block_cache::clear()
{
    cache_change change;
    change.m_evicted = blocks();
    m_entries.clear();
    m_order.clear();
    return change;
}

std::vector<std::uint64_t> block_cache::blocks() const
{
    return {m_order.begin(), m_order.end()};
}

void block_cache::put(std::uint64_t salt, const block_link& link, cache_change& change)
{
    const auto found = m_entries.find(link.m_hash);
    if (found != m_entries.end())
    {
        m_order.splice(m_order.begin(), m_order, found->second.m_order);
        return;
    }
    m_order.push_front(link.m_hash);
    m_entries.emplace(link.m_hash, entry{link.m_parent, salt, m_order.begin()});
    change.m_stored.push_back(link.m_hash);
}

void block_cache::evict_excess(cache_change& change)
{
    while (m_entries.size() > m_capacity)
    {
        change.m_evicted.push_back(m_order.back());
        m_entries.erase(m_order.back());
        m_order.pop_back();
    }
}

} // namespace tarragontrail::stand_ins
