#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace tarragontrail::config {

/// Trace of one write in a row's value.
struct write_record
{
    std::uint64_t m_replaced_version = 0; ///< Row version that the write replaced.
    std::uint64_t m_nonce = 0;            ///< Random number of the write.
};

/// Last writes of a row, kept in its value so that a writer whose reply was lost can tell by
/// reading back whether its write took effect, also after others wrote since.
class write_history
{
public:
    /// Adds a write; drops the oldest beyond the bound.
    void add(std::uint64_t replaced_version, std::uint64_t nonce);

    /// Nonce of the write that replaced this version; none when the trail does not reach back.
    std::optional<std::uint64_t> nonce_of_replacement(std::uint64_t replaced_version) const;

    /// Entries, oldest first.
    const std::vector<write_record>& entries() const noexcept { return m_entries; }

private:
    static constexpr std::size_t max_entries = 16; ///< Writes remembered.

    std::vector<write_record> m_entries; ///< Oldest first.
};

} // namespace tarragontrail::config
