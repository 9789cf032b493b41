#include "tarragontrail/config/row_trail.hpp"

#include <algorithm>

namespace tarragontrail::config {

void row_trail::add(std::uint64_t replaced, std::uint64_t nonce)
{
    m_entries.push_back({replaced, nonce});
    if (m_entries.size() > max_entries)
    {
        m_entries.erase(m_entries.begin());
    }
}

std::optional<std::uint64_t> row_trail::writer_of(std::uint64_t replaced) const
{
    const auto found =
        std::find_if(m_entries.begin(), m_entries.end(),
                     [&](const trail_entry& entry) { return entry.m_replaced == replaced; });
    return found != m_entries.end() ? std::optional(found->m_nonce) : std::nullopt;
}

} // namespace tarragontrail::config
