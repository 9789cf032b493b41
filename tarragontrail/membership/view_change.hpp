#pragma once

#include "tarragontrail/membership/failure_detector.hpp"
#include "tarragontrail/membership/view.hpp"

#include <vector>

namespace tarragontrail::membership {

/// State of an instance on the platform's list.
enum class listed_state : std::uint8_t
{
    live,    ///< Runs.
    leaving, ///< Was told to stop.
};

/// Entry of the platform's list, which lags.
struct listed_instance
{
    member m_member;                           ///< Instance; its state is not used.
    listed_state m_state = listed_state::live; ///< State.
};

/// Kind of a change to the view.
enum class change_kind : std::uint8_t
{
    put,    ///< Add the member, or replace an entry of an older incarnation.
    drain,  ///< Mark it as draining.
    remove, ///< Take it out.
};

/// One change that the view needs.
struct view_change
{
    change_kind m_kind = change_kind::put; ///< Kind.
    member m_member;                       ///< Member concerned.
};

/// Judges which changes the view needs from the platform's list and the failure detector.
class view_change_planner
{
public:
    explicit view_change_planner(member self);

    /// Newest reading of the platform's list.
    void on_list(std::vector<listed_instance> listed);

    /// This instance is shutting down.
    void leave() noexcept { m_leaving = true; }

    /// A view came into force. Only a member itself may come back after it was taken out, as the
    /// others' readings of the list and of its liveness may be older than the removal.
    void on_view(const view& current);

    /// Changes that the view needs; empty when it is right.
    std::vector<view_change> needed_changes(const view& current,
                                            const failure_detector& detector) const;

private:
    /// Whether this instance hears more members than are silent to it. One that
    /// does not is more likely cut off itself than the last one alive.
    bool reaches_majority(const view& current, const failure_detector& detector) const;

    /// Whether the member must be taken out; `trusted` says whether the detector's word is enough.
    bool must_remove(const member& each, const failure_detector& detector,
                     bool detector_trusted) const;

    /// Whether the member must be marked as draining.
    bool is_stopping(const member& each, const failure_detector& detector) const;

    /// Adds listed instances that are no members yet.
    void add_new_members(const view& current, const failure_detector& detector,
                         std::vector<view_change>& changes) const;

    /// Adds what the own entry needs.
    void add_own_changes(const view& current, bool detector_trusted,
                         std::vector<view_change>& changes) const;

    const listed_instance* find_listed(core::instance_id id) const noexcept;

    /// Whether the instance is or was in a view seen here.
    bool was_member(core::instance_id id) const noexcept;

    member m_self;                                 ///< This instance.
    bool m_leaving = false;                        ///< Whether it is shutting down.
    std::vector<listed_instance> m_listed;         ///< Newest reading, sorted by id.
    std::vector<core::instance_id> m_ever_members; ///< Instances that were ever members, sorted.
    std::vector<core::instance_id> m_ever_listed;  ///< Instances that were ever listed, sorted.
};

/// View after the changes, numbered one higher; the same number when they change nothing.
view apply_changes(const view& current, const std::vector<view_change>& changes);

} // namespace tarragontrail::membership
