#pragma once

#include "tarragontrail/config/key_digest.hpp"
#include "tarragontrail/config/messages.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::config {

/// Set of withdrawals that the applied bundle may not include yet, at most one per key.
class withdrawal_set
{
public:
    /// Adds a withdrawal; returns whether it was new or has a higher bundle version than the known
    /// one.
    bool add(const withdrawal& added);

    /// Whether the key is withdrawn.
    bool contains(key_prefix prefix) const noexcept;

    /// Removes the withdrawals for which `included` holds.
    template <class Predicate>
    void remove_if(Predicate included)
    {
        std::erase_if(m_entries, included);
        rehash();
    }

    /// Hash of the set, independent of the order of insertion.
    std::uint64_t hash() const noexcept { return m_hash; }

    /// All withdrawals, sorted by key prefix.
    const std::vector<withdrawal>& all() const noexcept { return m_entries; }

private:
    /// Recomputes the hash.
    void rehash() noexcept;

    std::vector<withdrawal> m_entries; ///< Sorted by key prefix.
    std::uint64_t m_hash = 0;          ///< Exclusive or of the entries' hashes.
};

/// Leading half of the withdrawn key's digest.
constexpr key_prefix prefix_of(const withdrawal& from) noexcept
{
    return {from.m_prefix_high, from.m_prefix_low};
}

} // namespace tarragontrail::config
