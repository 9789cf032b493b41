#pragma once

#include <compare>
#include <cstdint>

namespace tarragontrail::core {

/// Version of a row or a table: a position in the history of the table store.
///
/// The store numbers its transactions. When it comes back from an older copy of itself, its numbers
/// go back and are given out again, and its era rises. Versions are ordered by era first; the same
/// number in two eras names two different states.
struct store_version
{
    std::uint64_t m_era = 0;    ///< Grows with each return from an older copy.
    std::uint64_t m_number = 0; ///< Number of a transaction; zero for a row that does not exist.

    bool operator==(const store_version&) const = default;

    constexpr std::strong_ordering operator<=>(const store_version& other) const noexcept
    {
        return m_era != other.m_era ? m_era <=> other.m_era : m_number <=> other.m_number;
    }
};

/// Era of a store that has never come back from an older copy; one that tells no era has zero.
inline constexpr std::uint64_t first_era = 1;

/// Fencing number of a holder whose row has this version; grows with the version over all eras.
constexpr std::uint64_t fencing_number(const store_version& version) noexcept
{
    // Room for 10^12 transactions an era, and for 8,192 eras in the 53 bits that JSON numbers keep.
    constexpr unsigned number_bits = 40;
    return (version.m_era << number_bits) | version.m_number;
}

} // namespace tarragontrail::core
