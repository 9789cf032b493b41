#include "tarragontrail/recovery/part_begin_log.hpp"

#include <algorithm>

namespace tarragontrail::recovery {

part_begin_log::part_begin_log(std::size_t capacity) : m_capacity(capacity) {}

void part_begin_log::record(std::uint64_t part, core::time_point begun)
{
    const auto found = m_by_part.find(part);
    if (found != m_by_part.end())
    {
        found->second->m_begun = std::max(found->second->m_begun, begun);
        m_entries.splice(m_entries.end(), m_entries, found->second);
        return;
    }
    if (m_entries.size() >= m_capacity)
    {
        m_by_part.erase(m_entries.front().m_part);
        m_entries.pop_front();
    }
    m_by_part.emplace(part, m_entries.insert(m_entries.end(), {part, begun}));
}

std::optional<core::time_point> part_begin_log::last_begin(std::uint64_t part) const
{
    const auto found = m_by_part.find(part);
    return found == m_by_part.end() ? std::nullopt : std::make_optional(found->second->m_begun);
}

} // namespace tarragontrail::recovery
