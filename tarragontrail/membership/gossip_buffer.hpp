#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/membership/messages.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::membership {

/// An item's payload is too large to be spread.
class gossip_error : public core::error
{
public:
    gossip_error() : error("gossip payload is too large") {}
};

/// Settings of gossip_buffer.
struct gossip_buffer_settings
{
    std::size_t m_max_items = 1024;        ///< Items held; the most often sent goes first.
    std::size_t m_max_payload_bytes = 256; ///< Largest payload.
    std::size_t m_transmit_factor =
        3; ///< Transmissions per item: factor * bits of the member count.
};

/// Bounded set of items that each message takes some of, the least often sent first.
class gossip_buffer
{
public:
    explicit gossip_buffer(const gossip_buffer_settings& settings);

    /// Adds an item or replaces an older one of the same kind and key; returns whether it is
    /// news. Equal and older orders are no news.
    bool add(gossip_item item);

    /// Items for one message of at most `max_bytes`, each counted as sent once.
    std::vector<gossip_item> take(std::size_t max_bytes, std::size_t members);

    /// Items still being spread at the last call of take().
    std::size_t pending_count() const noexcept { return m_pending_count; }

private:
    /// Item with its count of transmissions.
    struct entry
    {
        gossip_item m_item;              ///< Item.
        std::size_t m_transmissions = 0; ///< Transmissions so far.
    };

    /// Drops the most often sent entry when there are too many.
    void evict_excess();

    gossip_buffer_settings m_settings; ///< Bounds.
    std::vector<entry> m_entries;      ///< Sorted by kind and key.
    std::size_t m_pending_count = 0;   ///< Entries not sent often enough yet.
};

/// Transmissions of an item in a fleet of this size: factor * bits of the member count.
std::size_t transmit_limit(std::size_t factor, std::size_t members) noexcept;

/// Bytes that an item takes in a message, its encoding's overhead included.
std::size_t encoded_bytes(const gossip_item& item) noexcept;

} // namespace tarragontrail::membership
