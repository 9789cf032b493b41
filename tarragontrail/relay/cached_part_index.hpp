#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace tarragontrail::relay {

/// A prompt part in the cache of an engine: its identity, weights version and workspace included.
using part_key = std::uint64_t;

/// Which engines probably hold which prompt parts, predicted from the requests sent there.
///
/// Each engine's parts are kept in the order of their last use up to the tokens that it can hold,
/// as the engine itself does.
class cached_part_index
{
public:
    /// An engine has been sent a request with the part.
    void record_use(part_key part, core::upstream_id holder, std::uint64_t tokens,
                    std::uint64_t capacity_tokens);

    /// The engine probably holds the part.
    bool holds(part_key part, core::upstream_id holder) const;

    /// Engines that probably hold the part.
    const std::vector<core::upstream_id>& holders(part_key part) const;

    /// Tokens that the engine probably holds.
    std::uint64_t cached_tokens(core::upstream_id holder) const;

    /// The engine holds nothing any more.
    void clear_holder(core::upstream_id holder);

    /// The engine does not hold this part.
    void remove_part(part_key part, core::upstream_id holder);

    /// Parts known of, over all engines.
    std::size_t size() const noexcept { return m_holders_by_part.size(); }

private:
    /// One part at one engine.
    struct held_part
    {
        part_key m_part = 0;        ///< Part.
        std::uint64_t m_tokens = 0; ///< Its length.
    };

    /// Parts of one engine.
    struct holder_parts
    {
        std::list<held_part> m_recency_list; ///< Last used first.
        std::unordered_map<part_key, std::list<held_part>::iterator>
            m_position_by_part;     ///< By part.
        std::uint64_t m_tokens = 0; ///< Sum.
    };

    void remove(holder_parts& parts, core::upstream_id holder, part_key part);
    void remove_holder(part_key part, core::upstream_id holder);

    std::unordered_map<core::upstream_id, holder_parts> m_parts_by_holder;          ///< By engine.
    std::unordered_map<part_key, std::vector<core::upstream_id>> m_holders_by_part; ///< By part.
};

} // namespace tarragontrail::relay
