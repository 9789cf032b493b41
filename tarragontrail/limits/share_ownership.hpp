#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/limits/actions.hpp"
#include "tarragontrail/limits/home_assignment.hpp"
#include "tarragontrail/limits/limit_settings.hpp"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace tarragontrail::limits {

/// Tracks which instance holds which share, and takes over the shares of lost instances.
///
/// The shares of a workspace without a row belong to its homes among the genesis members. A share
/// changes its holder only after the holder has been missing from the platform's list for
/// takeover_delay(): the successor writes a claim, waits that long from the claim on, then writes
/// itself as holder. A holder that comes back cancels the claim before it uses the share, so
/// compare-and-set lets only one of the two succeed.
class share_ownership
{
public:
    share_ownership(const limit_settings& settings, core::instance_id self)
        : m_settings(settings), m_self(self)
    {}

    /// Sets the members from which the homes of workspaces without a row are chosen; they must
    /// never change.
    void set_genesis(std::vector<member> members);

    /// Sets the members of the agreed view, from which successors are chosen.
    void set_members(std::vector<member> members, core::time_point now);

    /// Applies the platform's list of instances, read by a query sent at `requested_at`.
    void set_listed_instances(const std::vector<core::instance_id>& listed,
                              core::time_point requested_at, core::time_point now);

    /// Reports that every row written before this process started has been received. Until then no
    /// share is used or written.
    void on_rows_loaded(core::time_point now);

    /// Starts or stops tracking a workspace.
    void track(core::workspace_id workspace, core::time_point now);
    void untrack(core::workspace_id workspace);

    /// Applies the current row from the table service's answer to a read or a write.
    void on_row(const share_row& row, core::time_point now);

    /// Applies the table service's answer that a workspace has no row.
    void on_row_missing(core::workspace_id workspace, core::time_point now);

    /// Applies a row received from a peer or by polling the table service.
    void learn_row(const share_row& row, core::time_point now);

    /// Requests a read of a row unless an answer is already awaited.
    void refresh(core::workspace_id workspace, core::time_point now);

    std::optional<core::time_point> next_deadline() const;
    void on_timer(core::time_point now);

    core::instance_id self() const noexcept { return m_self; }

    /// Row of a tracked workspace, nullptr otherwise.
    const share_row* find_row(core::workspace_id workspace) const;

    /// Whether this instance may start using the share of a slot.
    bool may_start_using(const share_slot& slot) const;

    /// Whether an instance has been missing from the platform's list for takeover_delay(), so that
    /// it must be dead.
    bool is_confirmed_dead(core::instance_id instance) const;

    /// Time of absence from the list after which an instance must be dead and its loans have
    /// expired.
    core::duration takeover_delay() const;

    std::vector<action> take_actions() { return std::exchange(m_actions, {}); }

    /// Workspaces whose row or right of use changed since the last call.
    std::vector<core::workspace_id> take_changed() { return std::exchange(m_changed, {}); }

private:
    struct tracked_workspace
    {
        share_row m_row; ///< Newest known row.
        /// When the row with this instance's claim was first read.
        std::optional<core::time_point> m_claimed_at;
        /// The table service has not yet answered a read or a write.
        bool m_is_awaiting_answer = false;
    };

    bool is_listed(core::instance_id instance) const
    {
        return m_listed_instances.contains(instance);
    }
    void apply_row(const share_row& row, bool is_answer, core::time_point now);
    void adopt_row(tracked_workspace& state, const share_row& row, core::time_point now);
    void update_all(core::time_point now);
    void update_ownership(tracked_workspace& state, core::time_point now);
    std::optional<share_slot> next_slot_state(const tracked_workspace& state, std::size_t index,
                                              core::time_point now);
    std::optional<share_slot> claim_slot(const tracked_workspace& state, std::size_t index) const;
    void write_slot(tracked_workspace& state, std::size_t index, const share_slot& slot,
                    core::time_point now);
    share_row genesis_row(core::workspace_id workspace) const;

    limit_settings m_settings;
    core::instance_id m_self;
    std::vector<member> m_genesis;                            ///< Members of the genesis view.
    std::vector<member> m_members;                            ///< Members of the agreed view.
    std::unordered_set<core::instance_id> m_listed_instances; ///< Platform's newest list.
    /// Start of each instance's absence from the list.
    std::unordered_map<core::instance_id, core::time_point> m_absent_since;
    std::optional<core::time_point> m_list_requested_at; ///< When the newest list was requested.
    bool m_rows_loaded = false;                          ///< on_rows_loaded() was called.
    std::unordered_map<core::workspace_id, tracked_workspace> m_tracked;
    /// Time of the next check, by workspace.
    std::unordered_map<core::workspace_id, core::time_point> m_next_checks;
    std::vector<action> m_actions;             ///< Returned by the next take_actions().
    std::vector<core::workspace_id> m_changed; ///< Returned by the next take_changed().
};

} // namespace tarragontrail::limits
