#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragontrail::relay {

/// Cuts a server-sent event stream into whole events, bytes unchanged, and reads their ids.
///
/// Only whole events are passed on, so that a stream can go on at another upstream after its last
/// event when the first one breaks off in the middle of the next.
class event_framer
{
public:
    /// Takes bytes of the stream.
    void feed(std::string_view bytes) { m_pending.append(bytes); }

    /// Next whole event with the blank line behind it; nothing when it is incomplete.
    std::optional<std::string> next();

    /// Bytes behind the last whole event.
    const std::string& remainder() const noexcept { return m_pending; }

    /// Forgets the bytes behind the last whole event.
    void clear()
    {
        m_pending.clear();
        m_scanned = 0;
    }

private:
    std::string m_pending;     ///< Bytes not yet returned.
    std::size_t m_scanned = 0; ///< Of these, bytes without the end of an event.
};

/// Number in an event's id line; nothing when it has none.
std::optional<std::uint64_t> parse_event_id(std::string_view event);

} // namespace tarragontrail::relay
