#pragma once

#include "tarragontrail/limits/home_share.hpp"
#include "tarragontrail/limits/lender_registry.hpp"
#include "tarragontrail/limits/share_ownership.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace tarragontrail::limits {

/// Limit of a workspace in one epoch of its configuration.
struct workspace_quota
{
    bucket_limit m_limit;      ///< Fleet-wide rate and burst.
    std::uint64_t m_epoch = 0; ///< Increases with every change of the limit.
};

/// Input to decisions about one workspace; valid during one call.
struct limit_context
{
    const limit_settings& m_settings;
    const share_ownership& m_ownership;
    const share_row& m_row;
    core::time_point m_now;
};

/// One workspace at one instance: its limit, the local share if any, and the other homes.
///
/// A lower limit of the local share applies immediately. A higher one applies once every other
/// holder has reported the limit's epoch or is confirmed dead.
class workspace_limit
{
public:
    explicit workspace_limit(const workspace_quota& quota) : m_quota(quota) {}

    /// Applies a changed limit; an epoch that is not newer has no effect.
    void set_quota(const workspace_quota& quota, const limit_context& context);

    /// Applies a changed row: gains or loses the local share.
    ///
    /// A gained share starts empty, after the loans of its previous holder have expired.
    void set_row(const limit_context& context);

    /// Applies the hint of another holder.
    void on_hint(core::instance_id from, const share_hint& hint, const limit_context& context);

    /// Local share after a refill, or nullptr if none is usable now.
    home_share* usable_share(const limit_settings& settings, core::time_point now);

    /// Local share, usable or not; nullptr if none is held.
    home_share* share() { return m_held_share ? &m_held_share->m_share : nullptr; }
    const home_share* share() const { return m_held_share ? &m_held_share->m_share : nullptr; }

    /// Index of the local share; requires one.
    std::size_t share_index() const { return m_held_share->m_index; }

    /// Whether a hint about the local share is due.
    bool needs_hint(const limit_settings& settings, core::time_point now);

    /// Hint about the local share; records it as sent.
    share_hint make_hint(core::workspace_id workspace, core::view_number view,
                         core::time_point now);

    /// Number of shares gained so far; refunds to a share of an earlier generation are dropped.
    std::uint32_t share_generation() const noexcept { return m_generation; }

    /// Registry of the other homes; created on first use.
    lender_registry& lenders(const limit_context& context);

    const workspace_quota& quota() const noexcept { return m_quota; }

private:
    struct peer_epoch
    {
        core::instance_id m_holder{};
        std::uint64_t m_epoch = 0;
    };

    /// Local share and what is needed to hold it.
    struct held_share
    {
        home_share m_share;
        std::size_t m_index = 0; ///< Index of the share among all shares of the workspace.
        std::size_t m_count = 0; ///< Number of shares of the workspace.
        /// Newest limit epoch that each other holder reported.
        std::vector<peer_epoch> m_peer_epochs;
        std::uint64_t m_hinted_balance = 0; ///< Balance in the last hint, in micro-tokens.
        std::uint64_t m_hinted_epoch = 0;
        core::time_point m_hinted_at;
    };

    void update_peer_epochs(const limit_context& context);
    void apply_share_limit(const limit_context& context);

    workspace_quota m_quota;                    ///< Newest known limit.
    std::unique_ptr<lender_registry> m_lenders; ///< Null until first used.
    std::unique_ptr<held_share> m_held_share;   ///< Null if no share is held.
    std::uint32_t m_generation = 0;
};

} // namespace tarragontrail::limits
