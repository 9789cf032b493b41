#pragma once

#include "tarragontrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace tarragontrail::recovery {

/// Last time that an engine began to write an answer on each part; the part recorded least recently
/// is dropped beyond the capacity.
class part_begin_log
{
public:
    explicit part_begin_log(std::size_t capacity);

    /// Records a begin; an earlier time than the last one changes nothing.
    void record(std::uint64_t part, core::time_point begun);

    /// Time of the last begin, or nothing if none is known.
    std::optional<core::time_point> last_begin(std::uint64_t part) const;

    std::size_t size() const { return m_by_part.size(); }

private:
    /// Last begin of one part.
    struct entry
    {
        std::uint64_t m_part = 0;
        core::time_point m_begun{};
    };

    std::size_t m_capacity;
    std::list<entry> m_entries; ///< Least recently recorded first.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> m_by_part;
};

} // namespace tarragontrail::recovery
