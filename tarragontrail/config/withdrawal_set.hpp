#pragma once

#include "tarragontrail/config/key_digest.hpp"
#include "tarragontrail/config/messages.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::config {

/// Withdrawals that the bundle in force may not include yet.
class withdrawal_set
{
public:
    /// Adds a withdrawal; returns whether it was new.
    bool add(const withdrawal& added);

    /// Whether the key is withdrawn.
    bool contains(key_prefix prefix) const noexcept;

    /// Drops the withdrawals for which `included` holds.
    template <class Predicate>
    void remove_if(Predicate included)
    {
        std::erase_if(m_entries, included);
        rehash();
    }

    /// Order-free hash of the set.
    std::uint64_t hash() const noexcept { return m_hash; }

    /// All withdrawals, sorted by prefix.
    const std::vector<withdrawal>& all() const noexcept { return m_entries; }

private:
    /// Computes the hash anew.
    void rehash() noexcept;

    std::vector<withdrawal> m_entries; ///< Sorted by prefix.
    std::uint64_t m_hash = 0;          ///< Exclusive or over the entries' hashes.
};

/// Leading half of the withdrawn key's digest.
constexpr key_prefix prefix_of(const withdrawal& from) noexcept
{
    return {from.m_prefix_high, from.m_prefix_low};
}

} // namespace tarragontrail::config
