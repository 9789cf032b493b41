#pragma once

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/key_freshness.hpp"
#include "tarragontrail/config/withdrawal_set.hpp"

#include <memory>
#include <string_view>
#include <vector>

namespace tarragontrail::config {

/// Verdict on a key.
enum class key_verdict
{
    accepted,    ///< The key's workspace may run the request.
    withdrawn,   ///< The key was withdrawn.
    unknown_key, ///< No workspace has this key.
    stale_state, ///< This instance cannot vouch for any key now.
};

/// Answer to a key check.
struct key_check_result
{
    key_verdict m_verdict = key_verdict::stale_state; ///< Verdict.
    core::workspace_id m_workspace{};                 ///< Owner; set when accepted.
    std::uint32_t m_workspace_index = 0;              ///< Its index in the bundle when accepted.
    std::uint32_t m_key_id = 0;                       ///< Operators' number of the key.
};

/// Looks up keys by digest; checked per request and again while its stream runs.
class key_table
{
public:
    explicit key_table(const key_freshness_settings& settings) : m_freshness(settings) {}

    /// Replaces the bundle by a newer one; an older version breaks an invariant.
    void apply(std::shared_ptr<const bundle> applied);

    /// Records a withdrawal; returns whether it was new. One that the bundle in force includes is
    /// not recorded.
    bool withdraw(const withdrawal& added);

    /// Withdrawal of a key to be made now, kept until a bundle includes it.
    withdrawal make_withdrawal(key_prefix key) const noexcept;

    /// Verdict on a key's digest.
    key_check_result check(const sha256_digest& digest, core::time_point now) const;

    /// Bundle in force; null before the first.
    const std::shared_ptr<const bundle>& applied() const noexcept { return m_applied; }

    /// Withdrawals not yet included in the bundle.
    const withdrawal_set& withdrawals() const noexcept { return m_withdrawals; }

    /// Ages of the store's and the peers' words.
    key_freshness& freshness() noexcept { return m_freshness; }

    /// Ages of the store's and the peers' words.
    const key_freshness& freshness() const noexcept { return m_freshness; }

    /// Bytes held beside the bundle.
    std::size_t memory_bytes() const noexcept;

private:
    /// Slot at which the search for a digest begins.
    std::size_t home_slot(key_prefix prefix) const noexcept;

    /// Key with this digest prefix, or null.
    const key_entry* find(key_prefix prefix) const noexcept;

    /// Whether the bundle in force makes the withdrawal needless.
    bool supersedes_withdrawal(const withdrawal& held) const noexcept;

    /// Key with this digest, or null.
    const key_entry* find(const sha256_digest& digest) const noexcept;

    key_freshness m_freshness;               ///< Ages of words.
    withdrawal_set m_withdrawals;            ///< Withdrawals beyond the bundle.
    std::shared_ptr<const bundle> m_applied; ///< Bundle in force.
    std::vector<std::uint32_t> m_slots;      ///< Open addressing: key index + 1, zero when free.
};

} // namespace tarragontrail::config
