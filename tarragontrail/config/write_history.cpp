#include "tarragontrail/config/write_history.hpp"

#include <algorithm>

namespace tarragontrail::config {

void write_history::add(std::uint64_t replaced_version, std::uint64_t nonce)
{
    m_entries.push_back({replaced_version, nonce});
    if (m_entries.size() > max_entries)
    {
        m_entries.erase(m_entries.begin());
    }
}

std::optional<std::uint64_t>
write_history::nonce_of_replacement(std::uint64_t replaced_version) const
{
    const auto found =
        std::find_if(m_entries.begin(), m_entries.end(), [&](const write_record& entry) {
            return entry.m_replaced_version == replaced_version;
        });
    return found != m_entries.end() ? std::optional(found->m_nonce) : std::nullopt;
}

} // namespace tarragontrail::config
