// Part of failure_detector that exchanges membership updates and gossip items.
#include "tarragontrail/membership/failure_detector.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace tarragontrail::membership {

namespace {

auto version_of(const member_word& update) noexcept
{
    return std::tuple(update.m_incarnation, update.m_refutation, update.m_liveness);
}

} // namespace

void failure_detector::record_message(core::instance_id sender, core::view_number view)
{
    m_actions.emplace_back(view_number_received{sender, view});
    const auto found = m_peers.find(sender);
    if (found == m_peers.end())
    {
        return;
    }
    found->second.m_received = true;
    mark_answered(sender);
}

void failure_detector::mark_answered(core::instance_id member)
{
    const auto found = m_peers.find(member);
    if (found != m_peers.end())
    {
        found->second.m_probes_failing_since.reset();
    }
}

void failure_detector::answer_requester(const ping_ack& message, core::time_point /*now*/)
{
    const auto found = std::find_if(
        m_forwarded_pings.begin(), m_forwarded_pings.end(),
        [&](const forwarded_ping& each) { return each.m_sequence == message.m_sequence; });
    if (found == m_forwarded_pings.end())
    {
        return;
    }
    ping_ack answer = make_message<ping_ack>(found->m_requester);
    answer.m_subject = message.m_subject;
    answer.m_sequence = found->m_requester_sequence;
    if (m_peers.contains(message.m_subject))
    {
        answer.m_members.push_back(update_about(message.m_subject));
    }
    m_actions.emplace_back(send_ping_ack{found->m_requester, std::move(answer)});
    m_forwarded_pings.erase(found);
}

member_word failure_detector::own_update() const noexcept
{
    const liveness own = m_leaving ? liveness::left : liveness::alive;
    return {m_self, m_started, m_refutation, static_cast<std::uint64_t>(own)};
}

member_word failure_detector::update_about(core::instance_id member) const
{
    const peer& record = m_peers.at(member);
    return {member, record.m_incarnation, record.m_refutation,
            static_cast<std::uint64_t>(record.m_liveness)};
}

std::vector<member_word> failure_detector::take_updates(core::instance_id receiver)
{
    std::vector<member_word> updates{own_update()};

    // The receiver must learn that it is suspected or failed, so that it can refute.
    const auto about = m_peers.find(receiver);
    if (about != m_peers.end() && about->second.m_liveness != liveness::alive)
    {
        updates.push_back(update_about(receiver));
    }
    const std::size_t limit = transmit_limit(transmit_factor, m_peers.size() + 1);
    const std::size_t count = std::min(m_settings.m_max_updates, m_pending_updates.size());
    const auto end = m_pending_updates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(m_pending_updates.begin(), end, m_pending_updates.end());
    for (std::size_t i = 0; i < count; ++i)
    {
        updates.push_back(update_about(m_pending_updates[i].m_member));
        ++m_pending_updates[i].m_transmissions;
    }
    std::erase_if(m_pending_updates,
                  [limit](const pending_update& each) { return each.m_transmissions >= limit; });
    return updates;
}

void failure_detector::apply_updates(const std::vector<member_word>& updates)
{
    for (const member_word& update : updates)
    {
        apply_update(update);
    }
}

void failure_detector::apply_update(const member_word& update)
{
    // A count that cannot grow could never be refuted.
    constexpr auto no_refutation = std::numeric_limits<std::uint64_t>::max();
    if (update.m_liveness > static_cast<std::uint64_t>(liveness::failed) ||
        update.m_refutation == no_refutation)
    {
        return;
    }
    if (update.m_member == m_self)
    {
        refute(update);
        return;
    }
    if (m_peers.contains(update.m_member) &&
        version_of(update) > version_of(update_about(update.m_member)))
    {
        change_state(update.m_member, update);
    }
}

void failure_detector::refute(const member_word& update)
{
    const member_word own = own_update();
    if (update.m_incarnation != m_started || version_of(update) <= version_of(own))
    {
        return;
    }
    m_refutation = update.m_refutation + 1;
    TARRAGONTRAIL_INVARIANT(version_of(own_update()) > version_of(update),
                            "a refutation is newer than the update that it refutes");
}

void failure_detector::change_state(core::instance_id member, const member_word& update)
{
    peer& record = m_peers[member];
    const auto state = static_cast<liveness>(update.m_liveness);
    const bool is_new = state != record.m_liveness || update.m_incarnation != record.m_incarnation;
    record.m_incarnation = update.m_incarnation;
    record.m_refutation = update.m_refutation;
    record.m_liveness = state;
    if (state == liveness::alive)
    {
        record.m_probes_failing_since.reset();
    }
    std::erase_if(m_pending_updates,
                  [member](const pending_update& each) { return each.m_member == member; });
    m_pending_updates.push_back({0, member});
    if (is_new)
    {
        m_actions.emplace_back(member_changed{member, update.m_incarnation, state});
    }
}

void failure_detector::accept_items(const std::vector<gossip_item>& items)
{
    for (const gossip_item& item : items)
    {
        if (m_gossip.add(item))
        {
            m_actions.emplace_back(item_received{item});
        }
    }
}

std::vector<gossip_item> failure_detector::take_items()
{
    return m_gossip.take(m_settings.m_max_item_bytes, m_peers.size() + 1);
}

} // namespace tarragontrail::membership
