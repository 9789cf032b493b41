#pragma once

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/key_freshness.hpp"
#include "tarragontrail/config/withdrawal_set.hpp"

#include <memory>
#include <string_view>
#include <vector>

namespace tarragontrail::config {

/// Result of a key check.
enum class key_verdict
{
    accepted,    ///< The key is active.
    withdrawn,   ///< The key was withdrawn.
    unknown_key, ///< No workspace has this key.
    stale_state, ///< No key can be accepted: withdrawals may be missing here.
};

/// Result of a key check with the key's owner.
struct key_check_result
{
    key_verdict m_verdict = key_verdict::stale_state;
    core::workspace_id m_workspace{}; ///< Owner; set when accepted.
    /// Index of the owner in bundle::m_workspaces; set when accepted.
    std::uint32_t m_workspace_index = 0;
    std::uint32_t m_key_id = 0; ///< Key number that operators use; set when accepted.
};

/// Hash table of the keys in the applied bundle, with the withdrawals made since.
///
/// Keys are checked for each request and again while its response streams.
class key_table
{
public:
    explicit key_table(const key_freshness_settings& settings) : m_freshness(settings) {}

    /// Replaces the bundle by a newer one; a version that is not higher violates an invariant.
    void apply(std::shared_ptr<const bundle> applied);

    /// Records a withdrawal unless the applied bundle supersedes it; returns whether it was new.
    bool withdraw(const withdrawal& added);

    /// Makes a withdrawal of a key; it is effective until a bundle supersedes it. Its bundle
    /// version is that of the applied bundle, or the maximum if that bundle does not list the key.
    withdrawal make_withdrawal(key_prefix key) const noexcept;

    /// Checks a key by its digest.
    key_check_result check(const sha256_digest& digest, core::time_point now) const;

    /// Applied bundle; null before the first.
    const std::shared_ptr<const bundle>& applied() const noexcept { return m_applied; }

    /// Withdrawals that the applied bundle does not supersede.
    const withdrawal_set& withdrawals() const noexcept { return m_withdrawals; }

    /// Freshness of the keys and withdrawals.
    key_freshness& freshness() noexcept { return m_freshness; }

    /// Freshness of the keys and withdrawals.
    const key_freshness& freshness() const noexcept { return m_freshness; }

    /// Memory used in bytes, without the bundle.
    std::size_t memory_bytes() const noexcept;

private:
    /// Slot at which probing for a digest starts.
    std::size_t home_slot(key_prefix prefix) const noexcept;

    /// Key with this digest prefix; null if there is none.
    const key_entry* find(key_prefix prefix) const noexcept;

    /// Whether the applied bundle rejects the key even without the withdrawal.
    bool supersedes_withdrawal(const withdrawal& held) const noexcept;

    /// Key with this digest; null if there is none.
    const key_entry* find(const sha256_digest& digest) const noexcept;

    key_freshness m_freshness;
    withdrawal_set m_withdrawals;            ///< Withdrawals not superseded by the bundle.
    std::shared_ptr<const bundle> m_applied; ///< Applied bundle; null before the first.
    std::vector<std::uint32_t> m_slots;      ///< Open addressing; key index + 1, zero if free.
};

} // namespace tarragontrail::config
