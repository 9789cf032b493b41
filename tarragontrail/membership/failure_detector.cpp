#include "tarragontrail/membership/failure_detector.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::membership {

const char* to_string(liveness state) noexcept
{
    switch (state)
    {
    case liveness::alive:
        return "alive";
    case liveness::suspected:
        return "suspected";
    case liveness::left:
        return "left";
    case liveness::failed:
        return "failed";
    }
    return "unknown";
}

failure_detector::failure_detector(const failure_detector_settings& settings,
                                   const gossip_buffer_settings& gossip, core::instance_id self,
                                   core::incarnation started, std::uint64_t seed)
    : m_settings(settings), m_gossip(gossip), m_self(self), m_started(started), m_random(seed)
{}

void failure_detector::set_members(const std::vector<core::instance_id>& members)
{
    std::unordered_map<core::instance_id, peer> kept;
    for (const core::instance_id member : members)
    {
        if (member == m_self)
        {
            continue;
        }
        const auto known = m_peers.find(member);
        kept[member] = known != m_peers.end() ? known->second : peer();
    }
    m_peers = std::move(kept);
    std::erase_if(m_order, [this](core::instance_id id) { return !m_peers.contains(id); });
    std::erase_if(m_pending_updates,
                  [this](const pending_update& each) { return !m_peers.contains(each.m_member); });
    std::erase_if(m_probes, [this](const probe& each) { return !m_peers.contains(each.m_target); });
    m_position = std::min(m_position, m_order.size());
}

void failure_detector::start(core::time_point now)
{
    const auto period = core::duration(m_settings.m_period);
    m_next_period =
        now + core::duration(m_random.below(static_cast<std::uint64_t>(period.count())));
}

void failure_detector::on_timer(core::time_point now)
{
    // A probe is escalated to indirect probes after the ack timeout and ends with its period.
    std::vector<probe> ended;
    for (probe& current : m_probes)
    {
        if (now - current.m_sent_at >= m_settings.m_period)
        {
            ended.push_back(current);
            continue;
        }
        if (!current.m_indirect_sent && now - current.m_sent_at >= m_settings.m_ack_timeout)
        {
            probe_indirectly(current);
        }
    }
    for (const probe& each : ended)
    {
        end_probe(each, now);
    }
    std::erase_if(m_forwarded_pings,
                  [now](const forwarded_ping& each) { return each.m_expires_at <= now; });
    if (m_next_period <= now)
    {
        begin_period(now);
    }
}

void failure_detector::on_ping(const ping& message, core::time_point /*now*/)
{
    record_message(message.m_sender, message.m_view);
    apply_updates(message.m_members);
    accept_items(message.m_items);
    m_actions.emplace_back(freshness_received{message.m_freshness, std::nullopt});
    ping_ack answer = make_message<ping_ack>(message.m_sender);
    answer.m_subject = m_self;
    answer.m_sequence = message.m_sequence;
    m_actions.emplace_back(send_ping_ack{message.m_sender, std::move(answer)});
}

void failure_detector::on_ping_ack(const ping_ack& message, core::time_point now)
{
    record_message(message.m_sender, message.m_view);
    apply_updates(message.m_members);
    accept_items(message.m_items);
    answer_requester(message, now);
    const auto found = std::find_if(m_probes.begin(), m_probes.end(), [&](const probe& each) {
        return each.m_sequence == message.m_sequence;
    });
    if (found == m_probes.end())
    {
        m_actions.emplace_back(freshness_received{message.m_freshness, std::nullopt});
        return;
    }
    m_actions.emplace_back(freshness_received{message.m_freshness, found->m_sent_at});
    mark_answered(found->m_target);
    m_probes.erase(found);
}

void failure_detector::on_ping_request(const ping_request& message, core::time_point now)
{
    record_message(message.m_sender, message.m_view);
    apply_updates(message.m_members);
    if (!m_peers.contains(message.m_target))
    {
        return;
    }
    ping forwarded = make_message<ping>(message.m_target);
    forwarded.m_sequence = ++m_last_sequence;
    m_forwarded_pings.push_back(
        {m_last_sequence, message.m_sender, message.m_sequence, now + m_settings.m_period});
    m_actions.emplace_back(send_ping{message.m_target, std::move(forwarded)});
}

void failure_detector::leave()
{
    m_leaving = true;
}

std::optional<liveness> failure_detector::state_of(core::instance_id member) const noexcept
{
    if (member == m_self)
    {
        return m_leaving ? liveness::left : liveness::alive;
    }
    const auto found = m_peers.find(member);
    return found != m_peers.end() ? std::optional(found->second.m_liveness) : std::nullopt;
}

core::incarnation failure_detector::incarnation_of(core::instance_id member) const noexcept
{
    const auto found = m_peers.find(member);
    return found != m_peers.end() ? found->second.m_incarnation : core::incarnation{};
}

bool failure_detector::has_received_from(core::instance_id member) const noexcept
{
    const auto found = m_peers.find(member);
    return found != m_peers.end() && found->second.m_received;
}

std::vector<failure_detector::action> failure_detector::take_actions()
{
    return std::exchange(m_actions, {});
}

std::optional<core::time_point> failure_detector::next_deadline() const
{
    core::time_point next = m_next_period;
    for (const probe& current : m_probes)
    {
        const core::duration wait =
            current.m_indirect_sent ? m_settings.m_period : m_settings.m_ack_timeout;
        next = std::min(next, current.m_sent_at + wait);
    }
    return next;
}

void failure_detector::begin_period(core::time_point now)
{
    m_next_period = now + m_settings.m_period;

    // Members that did not answer are probed again each period, in addition to the next member of
    // the round. Their number is limited, so the cost of a period stays bounded when many members
    // fail at once.
    std::vector<core::instance_id> failing;
    for (const auto& [member, record] : m_peers)
    {
        if (record.m_probes_failing_since && record.m_liveness != liveness::failed &&
            !is_probed(member))
        {
            failing.push_back(member);
        }
    }
    std::sort(failing.begin(), failing.end(), [this](core::instance_id a, core::instance_id b) {
        return std::pair(m_peers[a].m_probes_failing_since, a) <
               std::pair(m_peers[b].m_probes_failing_since, b);
    });
    failing.resize(std::min(failing.size(), m_settings.m_max_extra_probes));
    for (const core::instance_id member : failing)
    {
        start_probe(member, now);
        probe_indirectly(m_probes.back());
        m_probes.back().m_indirect_sent = false;
    }
    const std::optional<core::instance_id> next = next_in_round();
    if (next && !is_probed(*next))
    {
        start_probe(*next, now);
    }
}

void failure_detector::start_probe(core::instance_id target, core::time_point now)
{
    m_probes.push_back({target, ++m_last_sequence, now, false});
    ping message = make_message<ping>(target);
    message.m_sequence = m_last_sequence;
    m_actions.emplace_back(send_ping{target, std::move(message)});
}

void failure_detector::probe_indirectly(probe& current)
{
    current.m_indirect_sent = true;
    for (const core::instance_id intermediary : pick_intermediaries(current.m_target))
    {
        ping_request message = make_message<ping_request>(intermediary);
        message.m_target = current.m_target;
        message.m_sequence = current.m_sequence;
        m_actions.emplace_back(send_ping_request{intermediary, std::move(message)});
    }
    if (!m_peers[current.m_target].m_probes_failing_since)
    {
        return;
    }
    ping message = make_message<ping>(current.m_target);
    message.m_sequence = current.m_sequence;
    m_actions.emplace_back(send_ping{current.m_target, std::move(message)});
}

void failure_detector::end_probe(const probe& ended, core::time_point now)
{
    std::erase_if(m_probes, [&](const probe& each) { return each.m_sequence == ended.m_sequence; });

    // A process that was itself paused during the wait cannot tell a missing answer from its own
    // pause.
    if (now - ended.m_sent_at > 2 * m_settings.m_period)
    {
        return;
    }
    peer& record = m_peers[ended.m_target];
    if (record.m_liveness == liveness::failed)
    {
        return;
    }
    record.m_probes_failing_since = record.m_probes_failing_since.value_or(ended.m_sent_at);
    member_word update = update_about(ended.m_target);
    const bool out_of_time = now - *record.m_probes_failing_since >= m_settings.m_suspicion_timeout;
    update.m_liveness =
        static_cast<std::uint64_t>(out_of_time ? liveness::failed : liveness::suspected);
    apply_update(update);
}

std::optional<core::instance_id> failure_detector::next_in_round()
{
    if (m_position >= m_order.size())
    {
        m_order.clear();
        for (const auto& [member, record] : m_peers)
        {
            m_order.push_back(member);
        }
        std::sort(m_order.begin(), m_order.end());
        std::shuffle(m_order.begin(), m_order.end(), m_random);
        m_position = 0;
    }
    return m_order.empty() ? std::nullopt : std::optional(m_order[m_position++]);
}

std::vector<core::instance_id> failure_detector::pick_intermediaries(core::instance_id target)
{
    std::vector<core::instance_id> intermediaries;
    const std::size_t tries = 4 * m_settings.m_indirect_probes;
    for (std::size_t i = 0; i < tries && intermediaries.size() < m_settings.m_indirect_probes; ++i)
    {
        if (m_order.empty())
        {
            break;
        }
        const core::instance_id picked = m_order[m_random.below(m_order.size())];
        const bool usable = picked != target && m_peers[picked].m_liveness != liveness::failed;
        if (usable &&
            std::find(intermediaries.begin(), intermediaries.end(), picked) == intermediaries.end())
        {
            intermediaries.push_back(picked);
        }
    }
    return intermediaries;
}

bool failure_detector::is_probed(core::instance_id member) const noexcept
{
    return std::any_of(m_probes.begin(), m_probes.end(),
                       [member](const probe& each) { return each.m_target == member; });
}

} // namespace tarragontrail::membership
