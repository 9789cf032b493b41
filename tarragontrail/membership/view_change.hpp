#pragma once

#include "tarragontrail/membership/failure_detector.hpp"
#include "tarragontrail/membership/view.hpp"

#include <vector>

namespace tarragontrail::membership {

/// State of an instance in the platform's list of instances.
enum class listed_state : std::uint8_t
{
    live,    ///< Running.
    leaving, ///< Requested to stop.
};

/// Entry of the platform's list of instances, which may be out of date.
struct listed_instance
{
    member m_member; ///< The instance; its m_state is not used.
    listed_state m_state = listed_state::live;
};

/// Kind of a change to the view.
enum class change_kind : std::uint8_t
{
    put,    ///< Add the member, or replace an entry of an older incarnation.
    drain,  ///< Mark it as draining.
    remove, ///< Remove it.
};

/// Change that the view needs.
struct view_change
{
    change_kind m_kind = change_kind::put;
    member m_member;
};

/// Determines the changes that the view needs, from the platform's list and the failure detector.
class view_change_planner
{
public:
    explicit view_change_planner(member self);

    /// Replaces the reading of the platform's list.
    void on_list(std::vector<listed_instance> listed);

    /// Marks this instance as shutting down.
    void leave() noexcept { m_leaving = true; }

    /// Records the members of a newly installed view. An instance that was removed is added again
    /// only by itself, as the list and the liveness that other instances know may be older than
    /// the removal.
    void on_view(const view& current);

    /// Changes that the view needs; empty when it is up to date.
    std::vector<view_change> needed_changes(const view& current,
                                            const failure_detector& detector) const;

private:
    /// Whether this instance can reach more members than it cannot. Otherwise it is more likely
    /// isolated itself than the last member alive, and its failure detector must not be trusted.
    bool reaches_majority(const view& current, const failure_detector& detector) const;

    /// Whether the member must be removed; `detector_trusted` says whether a failure reported by
    /// the detector is sufficient.
    bool must_remove(const member& each, const failure_detector& detector,
                     bool detector_trusted) const;

    /// Whether the member must be marked as draining.
    bool is_stopping(const member& each, const failure_detector& detector) const;

    /// Adds the listed instances that are not members yet.
    void add_new_members(const view& current, const failure_detector& detector,
                         std::vector<view_change>& changes) const;

    /// Adds the changes of this instance's own entry.
    void add_own_changes(const view& current, bool detector_trusted,
                         std::vector<view_change>& changes) const;

    const listed_instance* find_listed(core::instance_id id) const noexcept;

    /// Whether the instance is or was a member of a view installed here.
    bool was_member(core::instance_id id) const noexcept;

    member m_self;
    bool m_leaving = false;                        ///< Whether this instance is shutting down.
    std::vector<listed_instance> m_listed;         ///< Latest reading of the list, sorted by id.
    std::vector<core::instance_id> m_ever_members; ///< Instances that are or were members, sorted.
    std::vector<core::instance_id> m_ever_listed;  ///< Instances that are or were listed, sorted.
};

/// View after the changes, with the next number, or with the same number when nothing changes.
view apply_changes(const view& current, const std::vector<view_change>& changes);

} // namespace tarragontrail::membership
