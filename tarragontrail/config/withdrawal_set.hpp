#pragma once

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/key_digest.hpp"
#include "tarragontrail/config/messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>
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

    /// Drops what a newer bundle includes: keys that it lists as withdrawn or no longer lists.
    void prune(const bundle& applied);

    /// Order-free hash of the set.
    std::uint64_t hash() const noexcept { return m_hash; }

    /// All withdrawals, sorted by prefix.
    const std::vector<withdrawal>& all() const noexcept { return m_entries; }

private:
    std::vector<withdrawal> m_entries; ///< Sorted by prefix.
    std::uint64_t m_hash = 0;          ///< Exclusive or over the entries' hashes.
};

/// Row text of withdrawals.
std::string write_withdrawals(const std::vector<withdrawal>& entries);

/// Reads a row text; throws bundle_error when it is malformed.
std::vector<withdrawal> read_withdrawals(std::string_view text);

} // namespace tarragontrail::config
