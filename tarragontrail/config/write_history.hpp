#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace tarragontrail::config {

/// Record of one write in a row's value.
struct write_record
{
    std::uint64_t m_replaced_version = 0; ///< Row version that the write replaced.
    std::uint64_t m_nonce = 0;            ///< Random number that identifies the write.
};

/// Last writes of a row, stored in its value. A writer whose reply was lost reads the row back and
/// finds out whether its write took effect, even after later writes by others.
class write_history
{
public:
    /// Adds a write; drops the oldest one beyond 16.
    void add(std::uint64_t replaced_version, std::uint64_t nonce);

    /// Nonce of the write that replaced this row version; none if that write is not recorded any
    /// more.
    std::optional<std::uint64_t> nonce_of_replacement(std::uint64_t replaced_version) const;

    /// Recorded writes, oldest first.
    const std::vector<write_record>& entries() const noexcept { return m_entries; }

private:
    static constexpr std::size_t max_entries = 16; ///< Maximum number of recorded writes.

    std::vector<write_record> m_entries; ///< Oldest first.
};

} // namespace tarragontrail::config
