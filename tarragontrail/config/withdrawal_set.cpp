#include "tarragontrail/config/withdrawal_set.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>

namespace tarragontrail::config {

namespace {

bool precedes(const withdrawal& each, key_prefix prefix) noexcept
{
    return prefix_of(each) < prefix;
}

} // namespace

bool withdrawal_set::add(const withdrawal& added)
{
    const key_prefix prefix = prefix_of(added);
    const auto position = std::lower_bound(m_entries.begin(), m_entries.end(), prefix, precedes);
    const bool known = position != m_entries.end() && prefix_of(*position) == prefix;
    if (known && position->m_bundle_version >= added.m_bundle_version)
    {
        return false;
    }
    if (known)
    {
        position->m_bundle_version = added.m_bundle_version;
    }
    else
    {
        m_entries.insert(position, added);
    }
    rehash();
    return true;
}

bool withdrawal_set::contains(key_prefix prefix) const noexcept
{
    const auto position = std::lower_bound(m_entries.begin(), m_entries.end(), prefix, precedes);
    return position != m_entries.end() && prefix_of(*position) == prefix;
}

void withdrawal_set::rehash() noexcept
{
    m_hash = 0;
    for (const withdrawal& each : m_entries)
    {
        const std::uint64_t prefix = core::hash_pair(each.m_prefix_high, each.m_prefix_low);
        m_hash ^= core::hash_pair(prefix, each.m_bundle_version);
    }
}

} // namespace tarragontrail::config
