#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace tarragontrail::net {

/// Splits a server-sent event stream into the data of its events.
class sse_reader
{
public:
    using data_handler = std::function<void(std::string_view)>;

    /// `limit_bytes` bounds one event; a longer one is dropped whole.
    explicit sse_reader(std::size_t limit_bytes = std::size_t{16} * 1024 * 1024)
        : m_limit_bytes(limit_bytes)
    {}

    /// Takes a piece of the stream and calls the handler for each event completed by it.
    void feed(std::string_view piece, const data_handler& on_data);

private:
    void take_line(std::string_view line, const data_handler& on_data);

    std::size_t m_limit_bytes; ///< Largest event.
    std::string m_line;        ///< Line not yet complete.
    std::string m_data;        ///< Data lines of the event not yet complete.
    bool m_has_data = false;   ///< The event has a data line.
};

} // namespace tarragontrail::net
