#include "tarragontrail/relay/cached_part_index.hpp"

namespace tarragontrail::relay {

void cached_part_index::record_use(part_key part, core::upstream_id holder, std::uint64_t tokens,
                                   std::uint64_t capacity_tokens)
{
    holder_parts& parts = m_parts_by_holder[holder];
    const auto found = parts.m_position_by_part.find(part);
    if (found != parts.m_position_by_part.end())
    {
        parts.m_recency_list.splice(parts.m_recency_list.begin(), parts.m_recency_list,
                                    found->second);
        return;
    }
    parts.m_recency_list.push_front(held_part{part, tokens});
    parts.m_position_by_part.emplace(part, parts.m_recency_list.begin());
    parts.m_tokens += tokens;
    m_holders_by_part[part].push_back(holder);
    while (parts.m_tokens > capacity_tokens && parts.m_recency_list.size() > 1)
    {
        remove(parts, holder, parts.m_recency_list.back().m_part);
    }
}

bool cached_part_index::holds(part_key part, core::upstream_id holder) const
{
    const auto found = m_parts_by_holder.find(holder);
    return found != m_parts_by_holder.end() && found->second.m_position_by_part.contains(part);
}

const std::vector<core::upstream_id>& cached_part_index::holders(part_key part) const
{
    static const std::vector<core::upstream_id> none;
    const auto found = m_holders_by_part.find(part);
    return found == m_holders_by_part.end() ? none : found->second;
}

std::uint64_t cached_part_index::cached_tokens(core::upstream_id holder) const
{
    const auto found = m_parts_by_holder.find(holder);
    return found == m_parts_by_holder.end() ? 0 : found->second.m_tokens;
}

void cached_part_index::clear_holder(core::upstream_id holder)
{
    const auto found = m_parts_by_holder.find(holder);
    if (found == m_parts_by_holder.end())
    {
        return;
    }
    for (const held_part& held : found->second.m_recency_list)
    {
        remove_holder(held.m_part, holder);
    }
    m_parts_by_holder.erase(found);
}

void cached_part_index::remove_part(part_key part, core::upstream_id holder)
{
    const auto found = m_parts_by_holder.find(holder);
    if (found != m_parts_by_holder.end() && found->second.m_position_by_part.contains(part))
    {
        remove(found->second, holder, part);
    }
}

void cached_part_index::remove(holder_parts& parts, core::upstream_id holder, part_key part)
{
    const auto found = parts.m_position_by_part.find(part);
    parts.m_tokens -= found->second->m_tokens;
    parts.m_recency_list.erase(found->second);
    parts.m_position_by_part.erase(found);
    remove_holder(part, holder);
}

void cached_part_index::remove_holder(part_key part, core::upstream_id holder)
{
    const auto found = m_holders_by_part.find(part);
    if (found == m_holders_by_part.end())
    {
        return;
    }
    std::erase(found->second, holder);
    if (found->second.empty())
    {
        m_holders_by_part.erase(found);
    }
}

} // namespace tarragontrail::relay
