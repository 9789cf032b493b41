#pragma once

#include "tarragontrail/limits/home_share.hpp"
#include "tarragontrail/limits/lender_registry.hpp"
#include "tarragontrail/limits/share_ownership.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace tarragontrail::limits {

/// Limit of a workspace under one epoch of its configuration.
struct workspace_quota
{
    bucket_limit m_limit;      ///< Rate and burst of the whole workspace.
    std::uint64_t m_epoch = 0; ///< Grows with every change of the limit.
};

/// What decisions about one workspace are taken on.
struct limit_context
{
    const limit_settings& m_settings;   ///< Settings.
    const share_ownership& m_ownership; ///< Who holds which share.
    const share_row& m_row;             ///< Row of the workspace.
    core::time_point m_now;             ///< Time of the event.
};

/// One workspace at one instance: its limit, this instance's share if any, and the other homes.
///
/// A smaller part is in force at once. A larger one is in force when every other holder of a share
/// has said that it knows the epoch, or is surely dead.
class workspace_limit
{
public:
    explicit workspace_limit(const workspace_quota& quota) : m_quota(quota) {}

    /// Takes a changed limit; an epoch that is not newer has no effect.
    void set_quota(const workspace_quota& quota, const limit_context& context);

    /// Follows a changed row: gains or loses this instance's share.
    ///
    /// A gained share starts empty once the loans of its last holder have lapsed.
    void set_row(const limit_context& context);

    /// Takes another holder's hint.
    void on_hint(core::instance_id from, const share_hint& hint, const limit_context& context);

    /// Share held here that may be used now, refilled; nothing otherwise.
    home_share* usable_share(const limit_settings& settings, core::time_point now);

    /// Share held here, usable or not; nothing when none is held.
    home_share* share() { return m_held_share ? &m_held_share->m_share : nullptr; }
    const home_share* share() const { return m_held_share ? &m_held_share->m_share : nullptr; }

    /// Index of the share held here.
    std::size_t share_index() const { return m_held_share->m_index; }

    /// Whether other holders should hear of the share held here now.
    bool needs_hint(const limit_settings& settings, core::time_point now);

    /// Hint about the share held here; marks it as told.
    share_hint make_hint(core::workspace_id workspace, core::view_number view,
                         core::time_point now);

    /// Number of shares gained here so far; refunds to an earlier share are void.
    std::uint32_t share_generation() const noexcept { return m_generation; }

    /// What is known of the other homes; made at first use.
    lender_registry& lenders(const limit_context& context);

    const workspace_quota& quota() const noexcept { return m_quota; }

private:
    struct peer_epoch
    {
        core::instance_id m_holder{};
        std::uint64_t m_epoch = 0;
    };

    /// What only a home needs.
    struct held_share
    {
        home_share m_share;                    ///< Tokens and loans.
        std::size_t m_index = 0;               ///< Which share is held here.
        std::size_t m_count = 0;               ///< Number of shares.
        std::vector<peer_epoch> m_peer_epochs; ///< Epoch that each other holder said it knows.
        std::uint64_t m_hinted_balance = 0;    ///< Balance in the last hint.
        std::uint64_t m_hinted_epoch = 0;      ///< Epoch in the last hint.
        core::time_point m_hinted_at;          ///< Time of the last hint.
    };

    void update_peer_epochs(const limit_context& context);
    void apply_share_limit(const limit_context& context);

    workspace_quota m_quota;                    ///< Newest limit known.
    std::unique_ptr<lender_registry> m_lenders; ///< Other homes, once they are needed.
    std::unique_ptr<held_share> m_held_share;   ///< Share held here, if any.
    std::uint32_t m_generation = 0;             ///< Shares gained so far.
};

} // namespace tarragontrail::limits
