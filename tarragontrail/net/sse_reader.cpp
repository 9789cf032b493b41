#include "tarragontrail/net/sse_reader.hpp"

namespace tarragontrail::net {

void sse_reader::feed(std::string_view piece, const data_handler& on_data)
{
    while (!piece.empty())
    {
        const std::size_t end = piece.find('\n');
        if (m_line.size() < m_limit_bytes)
        {
            m_line.append(piece.substr(0, end));
        }
        if (end == std::string_view::npos)
        {
            return;
        }
        if (!m_line.empty() && m_line.back() == '\r')
        {
            m_line.pop_back();
        }
        const std::string line = std::move(m_line);
        m_line.clear();
        take_line(line, on_data);
        piece.remove_prefix(end + 1);
    }
}

void sse_reader::take_line(std::string_view line, const data_handler& on_data)
{
    constexpr std::string_view field = "data:";
    if (line.empty())
    {
        if (m_has_data && m_data.size() < m_limit_bytes)
        {
            on_data(m_data);
        }
        m_data.clear();
        m_has_data = false;
        return;
    }
    if (line.substr(0, field.size()) != field)
    {
        return;
    }
    line.remove_prefix(field.size());
    if (!line.empty() && line.front() == ' ')
    {
        line.remove_prefix(1);
    }
    if (m_has_data)
    {
        m_data.push_back('\n');
    }
    m_data.append(line);
    m_has_data = true;
}

} // namespace tarragontrail::net
