#include "tarragontrail/relay/event_framer.hpp"

#include "tarragontrail/core/parse_number.hpp"

#include <algorithm>

namespace tarragontrail::relay {

std::optional<std::string> event_framer::next()
{
    // An event ends with an empty line; lines end with LF or CR LF.
    constexpr std::size_t longest_end = 4;
    std::size_t at = m_scanned > longest_end ? m_scanned - longest_end : 0;
    for (; at < m_pending.size(); ++at)
    {
        if (m_pending[at] != '\n')
        {
            continue;
        }
        std::size_t after = at + 1;
        if (after < m_pending.size() && m_pending[after] == '\r')
        {
            ++after;
        }
        if (after >= m_pending.size() || m_pending[after] != '\n')
        {
            continue;
        }
        std::string event = m_pending.substr(0, after + 1);
        m_pending.erase(0, after + 1);
        m_scanned = 0;
        return event;
    }
    m_scanned = m_pending.size();
    return std::nullopt;
}

std::optional<std::uint64_t> parse_event_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    std::size_t start = 0;
    while (start < event.size())
    {
        const std::size_t end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(name))
        {
            continue;
        }
        line.remove_prefix(name.size());
        while (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        line = line.substr(0, line.find_last_not_of("\r ") + 1);
        if (const auto id = core::parse_number(line))
        {
            return id;
        }
    }
    return std::nullopt;
}

bool has_data(std::string_view event)
{
    constexpr std::string_view name = "data";
    return event.starts_with(name) || event.find("\ndata") != std::string_view::npos;
}

} // namespace tarragontrail::relay
