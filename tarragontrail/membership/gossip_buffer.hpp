#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/membership/messages.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::membership {

/// The payload of an item exceeds the limit of the gossip buffer.
class gossip_error : public core::error
{
public:
    gossip_error() : error("gossip item payload exceeds the size limit") {}
};

/// Limits of gossip_buffer.
struct gossip_buffer_settings
{
    std::size_t m_max_items = 1024; ///< Items kept; the one sent most often is evicted first.
    std::size_t m_max_payload_bytes = 256; ///< Largest payload of an item, in bytes.
    std::size_t m_transmit_factor = 3;     ///< See transmit_limit().
};

/// Bounded set of gossip items; each message carries those sent least often so far.
class gossip_buffer
{
public:
    explicit gossip_buffer(const gossip_buffer_settings& settings);

    /// Adds an item or replaces one of the same kind and key with a lower order; returns whether
    /// the item is new. An item of an equal or lower order is dropped. Throws gossip_error when the
    /// payload is too large.
    bool add(gossip_item item);

    /// Returns the items for one message, at most `max_bytes` when encoded, and counts each as sent
    /// once. `members` is the fleet's size.
    std::vector<gossip_item> take(std::size_t max_bytes, std::size_t members);

    /// Items below their transmission limit at the last call of take().
    std::size_t pending_count() const noexcept { return m_pending_count; }

private:
    /// Item with its transmission count.
    struct entry
    {
        gossip_item m_item;
        std::size_t m_transmissions = 0; ///< Times sent so far.
    };

    /// Evicts the entry sent most often when there are too many.
    void evict_excess();

    gossip_buffer_settings m_settings;
    std::vector<entry> m_entries;    ///< Sorted by kind and key.
    std::size_t m_pending_count = 0; ///< Entries below their transmission limit.
};

/// Number of times that each instance sends an item in a fleet of this size: `factor` times the bit
/// width of the member count, as gossip reaches all members in a logarithmic number of rounds.
std::size_t transmit_limit(std::size_t factor, std::size_t members) noexcept;

/// Upper bound on the size of an encoded item, in bytes.
std::size_t encoded_bytes(const gossip_item& item) noexcept;

} // namespace tarragontrail::membership
