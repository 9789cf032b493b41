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

/// Knows which instance holds which share, and takes over the shares of lost instances.
///
/// A workspace without a row has the homes of the genesis members. A share leaves its holder only
/// when the platform's list has lacked the holder for `takeover_delay()`: the successor writes a
/// claim, waits that long from the claim on, then writes itself as holder. A holder that comes back
/// cancels the claim before it uses the share, so compare-and-set lets only one of both succeed.
class share_ownership
{
public:
    share_ownership(const limit_settings& settings, core::instance_id self)
        : m_settings(settings), m_self(self)
    {}

    /// Sets the members whose homes hold every share that has no row; must never change.
    void set_genesis(std::vector<member> members);

    /// Sets the members of the agreed view, among which successors are chosen.
    void set_members(std::vector<member> members, core::time_point now);

    /// Takes the platform's list of instances as read by a query sent at `asked_at`.
    void set_listed_instances(const std::vector<core::instance_id>& listed,
                              core::time_point asked_at, core::time_point now);

    /// States that every row written before this process started has been delivered.
    void on_rows_loaded(core::time_point now);

    /// Starts or stops to follow a workspace.
    void track(core::workspace_id workspace, core::time_point now);
    void untrack(core::workspace_id workspace);

    /// Takes the table's answer to a read or a write: the row as it is now.
    void on_row(const share_row& row, core::time_point now);

    /// Takes the table's answer that a workspace has no row.
    void on_row_missing(core::workspace_id workspace, core::time_point now);

    /// Takes a row learnt by polling the table or from a peer.
    void learn_row(const share_row& row, core::time_point now);

    /// Asks for a row to be read unless an answer is already awaited.
    void refresh(core::workspace_id workspace, core::time_point now);

    std::optional<core::time_point> next_deadline() const;
    void on_timer(core::time_point now);

    core::instance_id self() const noexcept { return m_self; }

    /// Row of a workspace that is followed, nothing otherwise.
    const share_row* find_row(core::workspace_id workspace) const;

    /// Whether this instance may start to use a slot that names it as holder.
    bool may_start_using(const share_slot& slot) const;

    /// Whether an instance has been off the platform's list long enough to be surely dead.
    bool is_confirmed_dead(core::instance_id instance) const;

    /// Time off the list after which an instance is surely dead and its loans have lapsed.
    core::duration takeover_delay() const;

    std::vector<action> take_actions() { return std::exchange(m_actions, {}); }

    /// Workspaces whose row or standing changed since the last call.
    std::vector<core::workspace_id> take_changed() { return std::exchange(m_changed, {}); }

private:
    struct tracked_workspace
    {
        share_row m_row; ///< Newest row known.
        std::optional<core::time_point>
            m_claimed_at;                  ///< When this instance's claim was first read.
        bool m_is_awaiting_answer = false; ///< An answer of the table is awaited.
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

    limit_settings m_settings;                                ///< Settings.
    core::instance_id m_self;                                 ///< This instance.
    std::vector<member> m_genesis;                            ///< First members.
    std::vector<member> m_members;                            ///< Members of the agreed view.
    std::unordered_set<core::instance_id> m_listed_instances; ///< Platform's list.
    std::unordered_map<core::instance_id, core::time_point>
        m_absent_since;                                  ///< Since when unlisted.
    std::optional<core::time_point> m_list_requested_at; ///< When the newest list was asked for.
    bool m_rows_loaded = false;                          ///< Rows are known since start.
    std::unordered_map<core::workspace_id, tracked_workspace> m_tracked; ///< Followed workspaces.
    std::unordered_map<core::workspace_id, core::time_point>
        m_next_checks;                         ///< Next look at a workspace.
    std::vector<action> m_actions;             ///< Actions not yet taken.
    std::vector<core::workspace_id> m_changed; ///< Changes not yet taken.
};

} // namespace tarragontrail::limits
