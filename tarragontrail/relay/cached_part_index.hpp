#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace tarragontrail::relay {

/// Identifies a prompt part in a cache; covers the part's identity, the weights version and, for
/// isolated workspaces, the workspace.
using part_key = std::uint64_t;

/// Predicts which engines, or the cache store, hold which prompt parts.
///
/// The prediction is based on the requests that were sent and on the cache store's events. Each
/// holder's parts are kept in least-recently-used order up to its capacity in tokens, as an engine
/// does itself.
class cached_part_index
{
public:
    /// Records that a request with the part was sent to the holder; evicts the least recently used
    /// parts beyond the capacity.
    void record_use(part_key part, core::upstream_id holder, std::uint64_t tokens,
                    std::uint64_t capacity_tokens);

    /// True when the holder is predicted to hold the part.
    bool holds(part_key part, core::upstream_id holder) const;

    /// Predicted holders of the part.
    const std::vector<core::upstream_id>& holders(part_key part) const;

    /// Tokens that the holder is predicted to hold.
    std::uint64_t cached_tokens(core::upstream_id holder) const;

    /// Removes all parts of the holder.
    void clear_holder(core::upstream_id holder);

    /// Removes one part of the holder.
    void remove_part(part_key part, core::upstream_id holder);

    /// Number of distinct parts over all holders.
    std::size_t size() const noexcept { return m_holders_by_part.size(); }

private:
    /// One part at one holder.
    struct held_part
    {
        part_key m_part = 0;
        std::uint64_t m_tokens = 0; ///< Length.
    };

    /// Parts of one holder.
    struct holder_parts
    {
        std::list<held_part> m_recency_list; ///< Most recently used first.
        std::unordered_map<part_key, std::list<held_part>::iterator> m_position_by_part;
        std::uint64_t m_tokens = 0; ///< Sum over all parts.
    };

    void remove(holder_parts& parts, core::upstream_id holder, part_key part);
    void remove_holder(part_key part, core::upstream_id holder);

    std::unordered_map<core::upstream_id, holder_parts> m_parts_by_holder;
    std::unordered_map<part_key, std::vector<core::upstream_id>> m_holders_by_part;
};

} // namespace tarragontrail::relay
