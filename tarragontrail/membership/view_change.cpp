#include "tarragontrail/membership/view_change.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragontrail::membership {

namespace {

bool has_lower_id(const listed_instance& each, core::instance_id id) noexcept
{
    return each.m_member.m_id < id;
}

} // namespace

view_change_planner::view_change_planner(member self) : m_self(make_member(std::move(self))) {}

void view_change_planner::on_list(std::vector<listed_instance> listed)
{
    std::sort(listed.begin(), listed.end(), [](const listed_instance& a, const listed_instance& b) {
        return a.m_member.m_id < b.m_member.m_id;
    });
    for (const listed_instance& each : listed)
    {
        const auto place =
            std::lower_bound(m_ever_listed.begin(), m_ever_listed.end(), each.m_member.m_id);
        if (place == m_ever_listed.end() || *place != each.m_member.m_id)
        {
            m_ever_listed.insert(place, each.m_member.m_id);
        }
    }
    m_listed = std::move(listed);
}

void view_change_planner::on_view(const view& current)
{
    std::vector<core::instance_id> ids;
    for (const member& each : current.members())
    {
        ids.push_back(each.m_id);
    }
    std::vector<core::instance_id> all;
    std::set_union(m_ever_members.begin(), m_ever_members.end(), ids.begin(), ids.end(),
                   std::back_inserter(all));
    m_ever_members = std::move(all);
}

std::vector<view_change> view_change_planner::needed_changes(const view& current,
                                                             const failure_detector& detector) const
{
    const bool detector_trusted = reaches_majority(current, detector);
    std::vector<view_change> changes;
    for (const member& each : current.members())
    {
        if (each.m_id == m_self.m_id)
        {
            continue;
        }
        if (must_remove(each, detector, detector_trusted))
        {
            changes.push_back({change_kind::remove, each});
        }
        else if (detector.incarnation_of(each.m_id) > each.m_incarnation)
        {
            member restarted = each;
            restarted.m_incarnation = detector.incarnation_of(each.m_id);
            const bool was_known = each.m_incarnation != core::incarnation{};
            if (was_known && !is_stopping(each, detector))
            {
                restarted.m_state = member_state::live;
            }
            changes.push_back({change_kind::put, std::move(restarted)});
        }
        else if (each.m_state == member_state::live && is_stopping(each, detector))
        {
            changes.push_back({change_kind::drain, each});
        }
    }
    add_new_members(current, detector, changes);
    add_own_changes(current, detector_trusted, changes);
    return changes;
}

bool view_change_planner::reaches_majority(const view& current,
                                           const failure_detector& detector) const
{
    std::size_t reachable = 1; // This instance itself.
    std::size_t unreachable = 0;
    for (const member& each : current.members())
    {
        const std::optional<liveness> state = detector.state_of(each.m_id);
        if (each.m_id == m_self.m_id || !state)
        {
            continue;
        }
        const bool is_unreachable = *state == liveness::suspected || *state == liveness::failed;
        ++(is_unreachable ? unreachable : reachable);
    }
    return reachable > unreachable;
}

bool view_change_planner::must_remove(const member& each, const failure_detector& detector,
                                      bool detector_trusted) const
{
    const liveness state = detector.state_of(each.m_id).value_or(liveness::alive);
    if (state == liveness::failed && detector_trusted)
    {
        return true;
    }
    // A new instance may not be listed yet; only one that was listed before counts as removed.
    const bool was_listed =
        std::binary_search(m_ever_listed.begin(), m_ever_listed.end(), each.m_id);
    const bool was_delisted = was_listed && find_listed(each.m_id) == nullptr;
    return was_delisted && state != liveness::alive;
}

bool view_change_planner::is_stopping(const member& each, const failure_detector& detector) const
{
    const listed_instance* listed = find_listed(each.m_id);
    const bool listed_leaving = listed != nullptr && listed->m_state == listed_state::leaving;
    return listed_leaving || detector.state_of(each.m_id) == liveness::left;
}

void view_change_planner::add_new_members(const view& current, const failure_detector& detector,
                                          std::vector<view_change>& changes) const
{
    for (const listed_instance& each : m_listed)
    {
        const core::instance_id id = each.m_member.m_id;
        const bool usable = detector.state_of(id).value_or(liveness::alive) == liveness::alive;
        if (!usable || each.m_state != listed_state::live || was_member(id) ||
            current.find(id) != nullptr)
        {
            continue;
        }
        // One write adds all listed instances, not only the writer. An incarnation that is not
        // known yet stays zero until gossip reports it.
        member added = each.m_member;
        added.m_incarnation = detector.incarnation_of(id);
        changes.push_back({change_kind::put, std::move(added)});
    }
}

void view_change_planner::add_own_changes(const view& current, bool detector_trusted,
                                          std::vector<view_change>& changes) const
{
    const member* own = current.find(m_self.m_id);
    const listed_instance* listed = find_listed(m_self.m_id);
    const bool stopping =
        m_leaving || (listed != nullptr && listed->m_state == listed_state::leaving);
    if (stopping && own != nullptr && own->m_state == member_state::live)
    {
        changes.push_back({change_kind::drain, *own});
    }
    const bool is_current = own != nullptr && own->m_incarnation >= m_self.m_incarnation &&
                            (own->m_state == member_state::live || stopping);
    const bool may_rejoin = detector_trusted || !was_member(m_self.m_id);
    if (!stopping && !is_current && may_rejoin)
    {
        changes.push_back({change_kind::put, m_self});
    }
}

bool view_change_planner::was_member(core::instance_id id) const noexcept
{
    return std::binary_search(m_ever_members.begin(), m_ever_members.end(), id);
}

const listed_instance* view_change_planner::find_listed(core::instance_id id) const noexcept
{
    const auto found = std::lower_bound(m_listed.begin(), m_listed.end(), id, has_lower_id);
    return found != m_listed.end() && found->m_member.m_id == id ? &*found : nullptr;
}

view apply_changes(const view& current, const std::vector<view_change>& changes)
{
    std::vector<member> members = current.members();
    bool changed = false;
    for (const view_change& each : changes)
    {
        const auto place = std::find_if(members.begin(), members.end(), [&](const member& known) {
            return known.m_id == each.m_member.m_id;
        });
        const bool present = place != members.end();

        // A change meant for an earlier process does not apply to the one that replaced it.
        if (present && place->m_incarnation > each.m_member.m_incarnation)
        {
            continue;
        }
        if (each.m_kind == change_kind::put && !present)
        {
            members.push_back(each.m_member);
            changed = true;
            continue;
        }
        if (each.m_kind == change_kind::put && !(*place == each.m_member))
        {
            *place = each.m_member;
            changed = true;
        }
        if (each.m_kind == change_kind::drain && present && place->m_state == member_state::live)
        {
            place->m_state = member_state::draining;
            changed = true;
        }
        if (each.m_kind == change_kind::remove && present)
        {
            members.erase(place);
            changed = true;
        }
    }
    const std::uint64_t number = core::value_of(current.number()) + (changed ? 1 : 0);
    return {core::view_number{number}, std::move(members)};
}

} // namespace tarragontrail::membership
