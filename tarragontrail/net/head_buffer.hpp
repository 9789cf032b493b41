#pragma once

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <string_view>

namespace tarragontrail::net {

/// Buffer of a connection that looks at the lines of a head as a parser takes them. The parser
/// joins a line that begins with a blank to the one before, which other readers take for a field of
/// its own.
class head_buffer : public boost::beast::flat_buffer
{
public:
    /// The bytes taken from here on belong to a head.
    void begin_head() noexcept
    {
        m_is_in_head = true;
        m_is_line_start = false;
        m_has_folded_line = false;
    }

    /// The bytes taken from here on belong to a body.
    void end_head() noexcept { m_is_in_head = false; }

    /// Whether a line of the head taken last begins with a blank.
    bool has_folded_line() const noexcept { return m_has_folded_line; }

    /// Removes bytes that were parsed.
    void consume(std::size_t size) noexcept
    {
        if (m_is_in_head)
        {
            check_lines({static_cast<const char*>(data().data()), std::min(size, data().size())});
        }
        boost::beast::flat_buffer::consume(size);
    }

private:
    void check_lines(std::string_view taken) noexcept
    {
        for (const char letter : taken)
        {
            m_has_folded_line =
                m_has_folded_line || (m_is_line_start && (letter == ' ' || letter == '\t'));
            m_is_line_start = letter == '\n';
        }
    }

    bool m_is_in_head = false;
    bool m_is_line_start = false; ///< The next byte begins a line.
    bool m_has_folded_line = false;
};

} // namespace tarragontrail::net
