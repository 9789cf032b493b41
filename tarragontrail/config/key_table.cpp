#include "tarragontrail/config/key_table.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <bit>
#include <limits>
#include <openssl/crypto.h>

namespace tarragontrail::config {

void key_table::apply(std::shared_ptr<const bundle> applied)
{
    TARRAGONTRAIL_INVARIANT(!m_applied || applied->m_version > m_applied->m_version,
                            "applied bundle version only grows");
    m_applied = std::move(applied);

    // The load factor is at most one half, so that probing ends after a few slots.
    m_slots.assign(std::bit_ceil(2 * m_applied->m_keys.size() + 1), 0);
    m_slots.shrink_to_fit();
    std::uint32_t index = 0;
    for (const key_entry& key : m_applied->m_keys)
    {
        std::size_t slot = home_slot(prefix_of(key.m_digest));
        while (m_slots[slot] != 0)
        {
            slot = (slot + 1) & (m_slots.size() - 1);
        }
        m_slots[slot] = ++index;
    }
    m_withdrawals.remove_if([this](const withdrawal& held) { return supersedes_withdrawal(held); });
}

bool key_table::withdraw(const withdrawal& added)
{
    return !supersedes_withdrawal(added) && m_withdrawals.add(added);
}

withdrawal key_table::make_withdrawal(key_prefix key) const noexcept
{
    // A key that this bundle does not list may be in a newer one that was not applied yet. Its
    // absence from a later bundle then proves nothing; only a bundle that lists it as withdrawn
    // supersedes the withdrawal.
    const bool listed = find(key) != nullptr;
    const std::uint64_t version =
        listed ? m_applied->m_version : std::numeric_limits<std::uint64_t>::max();
    return {key.m_high, key.m_low, version};
}

key_check_result key_table::check(const sha256_digest& digest, core::time_point now) const
{
    const key_prefix prefix = prefix_of(digest);
    const key_entry* key = find(digest);
    const bool withdrawn =
        (key != nullptr && key->m_state == key_state::withdrawn) || m_withdrawals.contains(prefix);
    if (withdrawn)
    {
        return {key_verdict::withdrawn};
    }
    if (!m_applied || m_freshness.state(now) == freshness_state::stale)
    {
        return {key_verdict::stale_state};
    }
    if (key == nullptr)
    {
        return {key_verdict::unknown_key};
    }
    return {key_verdict::accepted, m_applied->m_workspaces[key->m_workspace].m_id, key->m_workspace,
            key->m_id};
}

std::size_t key_table::memory_bytes() const noexcept
{
    return sizeof(key_table) + m_slots.capacity() * sizeof(std::uint32_t) +
           m_withdrawals.all().capacity() * sizeof(withdrawal);
}

std::size_t key_table::home_slot(key_prefix prefix) const noexcept
{
    return prefix.m_low & (m_slots.size() - 1);
}

const key_entry* key_table::find(key_prefix prefix) const noexcept
{
    if (m_slots.empty())
    {
        return nullptr;
    }
    std::size_t slot = home_slot(prefix);
    while (m_slots[slot] != 0)
    {
        const key_entry& key = m_applied->m_keys[m_slots[slot] - 1];
        if (prefix_of(key.m_digest) == prefix)
        {
            return &key;
        }
        slot = (slot + 1) & (m_slots.size() - 1);
    }
    return nullptr;
}

const key_entry* key_table::find(const sha256_digest& digest) const noexcept
{
    const key_entry* key = find(prefix_of(digest));
    if (key == nullptr || CRYPTO_memcmp(key->m_digest.data(), digest.data(), digest.size()) != 0)
    {
        return nullptr;
    }
    return key;
}

bool key_table::supersedes_withdrawal(const withdrawal& held) const noexcept
{
    if (!m_applied)
    {
        return false;
    }
    const key_entry* key = find(prefix_of(held));
    if (key != nullptr)
    {
        return key->m_state == key_state::withdrawn;
    }
    return m_applied->m_version > held.m_bundle_version;
}

} // namespace tarragontrail::config
