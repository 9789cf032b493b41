#include "tarragontrail/entry/membership_service.hpp"

#include "tarragontrail/entry/table_bridge.hpp"
#include "tarragontrail/observe/log.hpp"

#include <type_traits>

namespace tarragontrail::entry {
membership_service::membership_service(control_context& context,
                                       const membership_settings& settings,
                                       membership_listener& listener, std::uint64_t seed)
    : m_context(context), m_settings(settings), m_listener(listener),
      m_detector(settings.m_detector, settings.m_gossip, context.m_self.m_id,
                 context.m_self.m_incarnation, seed),
      m_view_synchronizer(settings.m_view_synchronizer, context.m_self.m_id, seed + 1),
      m_planner(context.m_self), m_locator(settings.m_locator)
{}

void membership_service::start(core::time_point now)
{
    m_detector.start(now);
    m_view_synchronizer.start(now);
    poll_list(now);
}

void membership_service::leave()
{
    m_leaving = true;
    m_planner.leave();
    m_detector.leave();
    m_view_synchronizer.set_needed_changes(m_planner.needed_changes(current(), m_detector),
                                           core::runtime_clock::now());
}

void membership_service::spread(gossip_kind kind, std::uint64_t key, std::uint64_t order,
                                std::string payload)
{
    m_detector.spread({static_cast<std::uint64_t>(kind), key, order, std::move(payload)});
}

void membership_service::broadcast(const wire::message& message)
{
    for (const membership::member& each : current().members())
    {
        if (each.m_id == m_context.m_self.m_id)
        {
            continue;
        }
        m_context.m_peers.send(each.m_id, message);
    }
}

bool membership_service::on_message(core::instance_id /*from*/, const wire::message& message,
                                    core::time_point now)
{
    if (const auto* ping = std::get_if<wire::ping>(&message))
    {
        m_detector.on_ping(*ping, now);
        return true;
    }
    if (const auto* ack = std::get_if<wire::ping_ack>(&message))
    {
        m_detector.on_ping_ack(*ack, now);
        return true;
    }
    if (const auto* request = std::get_if<wire::ping_request>(&message))
    {
        m_detector.on_ping_request(*request, now);
        return true;
    }
    if (const auto* asked = std::get_if<wire::view_request>(&message))
    {
        m_view_synchronizer.on_view_request(*asked);
        return true;
    }
    if (const auto* answer = std::get_if<wire::view_answer>(&message))
    {
        m_view_synchronizer.on_view_answer(*answer, now);
        return true;
    }
    return false;
}

core::instance_id membership_service::owner_of(std::uint64_t shard, core::region_id region) const
{
    const membership::member* owner = current().owner_of(shard, region);
    return owner == nullptr ? core::instance_id{} : owner->m_id;
}

membership::locate_answer membership_service::locate(core::workspace_id workspace,
                                                     std::size_t homes,
                                                     const membership::caller_locality& place) const
{
    return m_locator.locate(current(), m_detector, workspace, homes, place);
}

membership::liveness membership_service::state_of(core::instance_id member) const
{
    return m_detector.state_of(member).value_or(membership::liveness::failed);
}

template <class Action>
void membership_service::carry_out(const Action& action, core::time_point now)
{
    using namespace membership;
    if constexpr (std::is_same_v<Action, send_ping> || std::is_same_v<Action, send_ping_ack>)
    {
        auto message = action.m_message;
        message.m_freshness = m_listener.own_freshness();
        m_context.m_peers.send(action.m_to, message);
    }
    else if constexpr (std::is_same_v<Action, send_ping_request> ||
                       std::is_same_v<Action, send_view_request> ||
                       std::is_same_v<Action, send_view_answer>)
    {
        m_context.m_peers.send(action.m_to, action.m_message);
    }
    else if constexpr (std::is_same_v<Action, member_changed>)
    {
        observe::log("member_changed", {{"member", core::value_of(action.m_member)},
                                        {"state", membership::to_string(action.m_liveness)}});
        m_view_synchronizer.set_needed_changes(m_planner.needed_changes(current(), m_detector),
                                               now);
    }
    else if constexpr (std::is_same_v<Action, item_received>)
    {
        m_listener.on_gossip(action.m_item);
    }
    else if constexpr (std::is_same_v<Action, freshness_received>)
    {
        m_listener.on_freshness(action.m_word, action.m_ping_sent_at);
    }
    else if constexpr (std::is_same_v<Action, view_number_received>)
    {
        m_view_synchronizer.on_peer_view(action.m_sender, action.m_number, now);
    }
    else if constexpr (std::is_same_v<Action, view_changed>)
    {
        observe::log("view_changed", {{"view", core::value_of(action.m_view->number())},
                                      {"members", action.m_view->members().size()}});
        m_planner.on_view(*action.m_view);
        watch_members();
        m_listener.on_view(*action.m_view);
    }
    else if constexpr (std::is_same_v<Action, config::table_read>)
    {
        bridge_read(m_context, m_view_synchronizer, action);
    }
    else
    {
        bridge_write(m_context, m_view_synchronizer, action);
    }
}

bool membership_service::run_actions(core::time_point now)
{
    const auto heartbeats = m_detector.take_actions();
    for (const auto& action : heartbeats)
    {
        std::visit([this, now](const auto& each) { carry_out(each, now); }, action);
    }
    const auto view_steps = m_view_synchronizer.take_actions();
    for (const auto& action : view_steps)
    {
        std::visit([this, now](const auto& each) { carry_out(each, now); }, action);
    }
    return !heartbeats.empty() || !view_steps.empty();
}

std::optional<core::time_point> membership_service::next_deadline() const
{
    return earlier(std::min(m_next_list, m_next_plan),
                   earlier(m_detector.next_deadline(), m_view_synchronizer.next_deadline()));
}

void membership_service::on_timer(core::time_point now)
{
    if (now >= m_next_list)
    {
        poll_list(now);
    }
    m_detector.on_timer(now);
    if (now >= m_next_plan)
    {
        m_next_plan = now + m_settings.m_plan_interval;
        m_view_synchronizer.set_needed_changes(m_planner.needed_changes(current(), m_detector),
                                               now);
    }
    m_view_synchronizer.on_timer(now);
}

void membership_service::poll_list(core::time_point now)
{
    // The list grows with the fleet, so it is read less often there: its cost a second stays.
    const auto fleets = 1 + current().members().size() / m_settings.m_list_members;
    m_next_list = now + m_settings.m_list_interval * static_cast<int>(fleets);
    m_context.m_platform.list_instances(
        [this, now](const std::optional<std::vector<membership::listed_instance>>& listed) {
            if (!listed)
            {
                return;
            }
            m_listed = *listed;
            m_planner.on_list(m_listed);
            watch_members();
            m_listener.on_instance_list(m_listed, now);
            m_view_synchronizer.set_needed_changes(m_planner.needed_changes(current(), m_detector),
                                                   core::runtime_clock::now());
            m_context.m_pump();
        });
}

void membership_service::watch_members()
{
    // Members of the view and instances on the list are both heard and both reachable.
    std::vector<core::instance_id> watched;
    std::vector<net::peer_address> addresses;
    const auto watch = [&](const membership::member& each) {
        if (each.m_id == m_context.m_self.m_id || each.m_address.empty())
        {
            return;
        }
        watched.push_back(each.m_id);
        addresses.push_back({each.m_id, net::make_endpoint(each.m_address, each.m_ports.m_peer)});
    };
    for (const membership::member& each : current().members())
    {
        watch(each);
    }
    for (const membership::listed_instance& each : m_listed)
    {
        watch(each.m_member);
    }
    m_detector.set_members(watched);
    m_detector.set_view(current().number());
    m_context.m_peers.set_peers(addresses);
}

} // namespace tarragontrail::entry
