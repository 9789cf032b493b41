#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tarragontrail::limits {

/// Smallest headroom of a bucket since any marked moment, in bounded memory.
///
/// Keeps a stack of minima, oldest and smallest first. When it is full neighbours are merged, which
/// can only make an answer smaller.
class headroom_history
{
public:
    /// Notes the headroom as it is now.
    void record(std::uint64_t headroom);

    /// Mark of this moment: the next headroom noted is the first one after it.
    std::uint64_t mark() const noexcept { return m_last_serial; }

    /// Smallest headroom noted after a mark; zero when nothing was.
    std::uint64_t minimum_since(std::uint64_t mark) const;

    /// Takes `amount` off everything noted so far, as a refund fills headroom in the past.
    void subtract(std::uint64_t amount);

private:
    static constexpr std::size_t max_minima = 64;

    struct minimum
    {
        std::uint64_t m_serial = 0;  ///< Last note that it stands for.
        std::int64_t m_headroom = 0; ///< Headroom plus all that was taken off before it was noted.
    };

    void merge_pairs();

    std::vector<minimum> m_minima;   ///< Serial and headroom both rise.
    std::int64_t m_subtracted = 0;   ///< Sum of what was taken off.
    std::uint64_t m_last_serial = 0; ///< Serial of the newest note.
};

} // namespace tarragontrail::limits
