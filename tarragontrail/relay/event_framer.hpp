#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragontrail::relay {

/// Splits a server-sent event stream into complete events without changing any byte.
///
/// Only complete events are forwarded. When an upstream fails in the middle of an event, the stream
/// can resume at another upstream after the last complete one.
class event_framer
{
public:
    /// Appends bytes of the stream.
    void feed(std::string_view bytes) { m_pending.append(bytes); }

    /// Next complete event with its terminating blank line; nothing when it is incomplete.
    std::optional<std::string> next();

    /// Bytes after the last complete event.
    const std::string& remainder() const noexcept { return m_pending; }

    /// True when an event has begun and not ended; line ends alone begin none.
    bool is_inside_event() const noexcept
    {
        return m_pending.find_first_not_of("\r\n") != std::string::npos;
    }

    /// Discards the bytes after the last complete event.
    void clear()
    {
        m_pending.clear();
        m_scanned = 0;
    }

private:
    /// Bytes not yet returned.
    std::string m_pending;
    /// Leading bytes of m_pending that are known to contain no end of an event.
    std::size_t m_scanned = 0;
};

/// Parses the id line of an event; nothing when there is no numeric id.
std::optional<std::uint64_t> parse_event_id(std::string_view event);

/// Whether an event tells its reader anything; one of comments or other fields alone does not.
bool has_data(std::string_view event);

} // namespace tarragontrail::relay
