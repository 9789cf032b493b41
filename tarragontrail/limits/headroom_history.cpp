#include "tarragontrail/limits/headroom_history.hpp"

#include <algorithm>

namespace tarragontrail::limits {

void headroom_history::record(std::uint64_t headroom)
{
    const std::int64_t value = static_cast<std::int64_t>(headroom) + m_subtracted;
    while (!m_minima.empty() && m_minima.back().m_headroom >= value)
    {
        m_minima.pop_back();
    }
    m_minima.push_back({++m_last_serial, value});
    if (m_minima.size() > max_minima)
    {
        merge_pairs();
    }
}

std::uint64_t headroom_history::minimum_since(std::uint64_t mark) const
{
    const auto first = std::upper_bound(
        m_minima.begin(), m_minima.end(), mark,
        [](std::uint64_t serial, const minimum& each) { return serial < each.m_serial; });
    if (first == m_minima.end())
    {
        return 0;
    }
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, first->m_headroom - m_subtracted));
}

void headroom_history::subtract(std::uint64_t amount)
{
    m_subtracted += static_cast<std::int64_t>(amount);
}

void headroom_history::merge_pairs()
{
    // The lower headroom of each pair represents both records.
    for (std::size_t pair = 0; pair < m_minima.size() / 2; ++pair)
    {
        m_minima[pair] = {m_minima[2 * pair + 1].m_serial, m_minima[2 * pair].m_headroom};
    }
    const std::size_t odd = m_minima.size() % 2;
    if (odd == 1)
    {
        m_minima[m_minima.size() / 2] = m_minima.back();
    }
    m_minima.resize(m_minima.size() / 2 + odd);
}

} // namespace tarragontrail::limits
