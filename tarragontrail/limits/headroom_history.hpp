#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tarragontrail::limits {

/// Minimum headroom of a bucket since any marked moment, in bounded memory.
///
/// Keeps a monotonic stack of minima, oldest and smallest first. When the stack is full, adjacent
/// entries are merged, which can only lower a result.
class headroom_history
{
public:
    /// Records the current headroom, in micro-tokens.
    void record(std::uint64_t headroom);

    /// Mark of the current moment; the next recorded headroom is the first one after it.
    std::uint64_t mark() const noexcept { return m_last_serial; }

    /// Minimum headroom recorded after a mark; zero if none was recorded.
    std::uint64_t minimum_since(std::uint64_t mark) const;

    /// Subtracts `amount` from all recorded values, because a refund fills the headroom of the
    /// past.
    void subtract(std::uint64_t amount);

private:
    static constexpr std::size_t max_minima = 64;

    struct minimum
    {
        std::uint64_t m_serial = 0;  ///< Newest record that this minimum covers.
        std::int64_t m_headroom = 0; ///< Headroom plus m_subtracted at the time of the record.
    };

    void merge_pairs();

    std::vector<minimum> m_minima;   ///< Ascending in both serial and headroom.
    std::int64_t m_subtracted = 0;   ///< Sum of all subtract() amounts.
    std::uint64_t m_last_serial = 0; ///< Serial of the newest record.
};

} // namespace tarragontrail::limits
