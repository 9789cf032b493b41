#include "tarragontrail/relay/fleet_exchange.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::relay {
namespace {

net::peer_link_settings link_settings(net::peer_link_settings settings)
{
    settings.m_connect_timeout = std::chrono::milliseconds(500);
    settings.m_heartbeat_interval = std::chrono::milliseconds(1'000);
    // Relay and link heartbeats arrive at least once a second, so a link without any is dead.
    settings.m_silence_timeout = std::chrono::milliseconds(2'200);
    settings.m_queue_limit = 64;
    return settings;
}

} // namespace

fleet_exchange::fleet_exchange(boost::asio::io_context& context,
                               const fleet_exchange_settings& settings, const fleet_member& self,
                               const net::tcp::endpoint& endpoint, relay_state& state,
                               instance_registry& registry, fleet_exchange_listener& listener)
    : m_settings(settings), m_self(self), m_state(state), m_registry(registry),
      m_listener(listener),
      m_network(context, endpoint, wire::hello{self.m_instance, self.m_started},
                link_settings(settings.m_links), *this),
      m_heartbeat_timer(context), m_urgent_timer(context), m_digest_timer(context),
      m_cells(self.m_instance)
{}

void fleet_exchange::start()
{
    schedule_heartbeat();
    schedule_urgent();
    schedule_digest();
}

void fleet_exchange::broadcast_heartbeat()
{
    const core::time_point now = core::runtime_clock::now();
    send_to_cell(net::encoded_message(make_heartbeat(now)));
}

void fleet_exchange::update_members()
{
    std::vector<net::peer_address> addresses;
    for (const auto& [instance, member] : m_registry.members())
    {
        if (instance == m_self.m_instance)
        {
            continue;
        }
        try
        {
            addresses.push_back({instance, net::parse_endpoint(member.m_peer_address)});
        }
        catch (const net::address_error& failure)
        {
            observe::log("member_refused", {{"reason", failure.what()}});
        }
    }
    m_network.set_peers(addresses);
    m_cells.set_members(m_registry.members());
    std::vector<core::instance_id> cell_ids;
    for (const auto& [name, cell] : m_cells.others())
    {
        cell_ids.push_back(cell_peer_id(name));
    }
    m_state.m_limits.set_peers(m_cells.own().m_members, cell_ids, m_registry.members().size(),
                               core::runtime_clock::now());
    std::erase_if(m_last_heartbeats,
                  [this](const auto& entry) { return !m_cells.is_in_own(entry.first); });
    observe::log("members", {{"count", addresses.size() + 1},
                             {"cell", m_cells.own().m_name},
                             {"cell_size", m_cells.own().m_members.size()},
                             {"cells", m_cells.others().size() + 1}});
}

void fleet_exchange::send_to_cell(const net::encoded_message& message)
{
    for (const core::instance_id instance : m_cells.own().m_members)
    {
        if (instance != m_self.m_instance)
        {
            send(instance, message);
        }
    }
}

void fleet_exchange::send_to_other_cells(const net::encoded_message& message,
                                         const std::string* region)
{
    if (m_cells.others().empty())
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    const net::encoded_message relayed(wire::cell_relay{*message.m_bytes});
    for (const auto& [name, cell] : m_cells.others())
    {
        if (region != nullptr && cell.m_region != *region)
        {
            continue;
        }
        send(receiver_in(cell, now), relayed);
    }
}

void fleet_exchange::send_to_region(const wire::message& message)
{
    const net::encoded_message encoded(message);
    send_to_cell(encoded);
    send_to_other_cells(encoded, &m_self.m_region);
}

void fleet_exchange::send_to_fleet(const wire::message& message)
{
    const net::encoded_message encoded(message);
    send_to_cell(encoded);
    send_to_other_cells(encoded, nullptr);
}

void fleet_exchange::send_to(core::instance_id peer, const wire::message& message)
{
    send(peer, net::encoded_message(message));
}

void fleet_exchange::ask_presence(core::instance_id peer)
{
    observe::log("presence_asked", {{"peer", core::value_of(peer)}});
    m_network.replace_quiet_link(peer);
    send(peer, net::encoded_message(wire::presence_request{}));
}

bool fleet_exchange::collects_notices() const
{
    return m_cells.others().size() > m_settings.m_max_direct_cells;
}

void fleet_exchange::announce_part(const wire::part_notice& notice)
{
    const net::encoded_message encoded(wire::part_notices{{}, {notice}});
    send_to_cell(encoded);
    if (!collects_notices())
    {
        send_to_other_cells(encoded, nullptr);
        return;
    }
    if (is_speaker(core::runtime_clock::now()))
    {
        m_collected_notices.push_back(notice);
    }
}

void fleet_exchange::on_peer_message(core::instance_id from, const wire::message& message)
{
    if (const auto* relay = std::get_if<wire::cell_relay>(&message))
    {
        on_relay(from, *relay);
        return;
    }
    handle(from, message);
}

/// The message has come to this cell once and is passed on to the others of the cell from here.
void fleet_exchange::on_relay(core::instance_id from, const wire::cell_relay& relay)
{
    const wire::message message = wire::decode(relay.m_message);
    if (std::holds_alternative<wire::cell_relay>(message))
    {
        observe::log("relay_refused",
                     {{"peer", core::value_of(from)}, {"reason", "the message is wrapped twice"}});
        return;
    }
    send_to_cell(net::encoded_message(message.index(), relay.m_message));
    handle(from, message);
}

void fleet_exchange::handle(core::instance_id from, const wire::message& message)
{
    if (const auto* heartbeat = std::get_if<wire::instance_pulse>(&message))
    {
        on_heartbeat(from, *heartbeat);
    }
    else if (const auto* digest = std::get_if<wire::cell_digest>(&message))
    {
        on_digest(from, *digest);
    }
    else if (const auto* changes = std::get_if<wire::cell_demands>(&message))
    {
        on_demands(from, *changes);
    }
    else if (const auto* notices = std::get_if<wire::part_notices>(&message))
    {
        on_part_notices(from, *notices);
    }
    else if (std::holds_alternative<wire::presence_request>(message))
    {
        on_presence_request(from);
    }
    else if (const auto* answer = std::get_if<wire::presence_answer>(&message))
    {
        on_presence_answer(from, *answer);
    }
    else
    {
        m_listener.on_message(from, message);
    }
}

void fleet_exchange::on_presence_request(core::instance_id from)
{
    const wire::instance_pulse status = make_status(core::runtime_clock::now());
    send(from, net::encoded_message(wire::presence_answer{status.m_state, status.m_since_order}));
}

/// Only the status of the instance: its loads and demands come in the sums over its cell.
void fleet_exchange::on_presence_answer(core::instance_id from, const wire::presence_answer& answer)
{
    const core::time_point now = core::runtime_clock::now();
    wire::member_state state = answer.m_state;
    state.m_instance = from;
    observe::log("presence_told", {{"peer", core::value_of(from)}});
    apply_state(state, now);
    m_listener.on_order_age(answer.m_since_order, now);
}

void fleet_exchange::on_heartbeat(core::instance_id from, const wire::instance_pulse& heartbeat)
{
    const core::time_point now = core::runtime_clock::now();
    wire::member_state state = heartbeat.m_state;
    state.m_instance = from;
    apply_state(state, now);
    m_state.m_limits.on_peer_demands(from, heartbeat.m_demands, now);
    apply_loads(from, heartbeat.m_loads, now);
    apply_outcomes(heartbeat.m_loads, now);
    apply_limits(heartbeat.m_limits);
    if (m_cells.is_in_own(from))
    {
        count_outcomes(heartbeat.m_loads);
        m_last_heartbeats[from] = heartbeat;
    }
    m_listener.on_order_age(heartbeat.m_since_order, now);
    m_listener.on_versions(from, heartbeat.m_versions, now);
}

void fleet_exchange::on_digest(core::instance_id from, const wire::cell_digest& digest)
{
    const core::time_point now = core::runtime_clock::now();
    if (digest.m_cell == m_cells.own().m_name)
    {
        return;
    }
    for (const wire::member_state& state : digest.m_members)
    {
        apply_state(state, now);
    }
    const core::instance_id cell = cell_peer_id(digest.m_cell);
    m_state.m_limits.on_peer_demands(cell, digest.m_demands, now);
    apply_loads(cell, digest.m_loads, now);
    const auto known = m_cells.others().find(digest.m_cell);
    if (known != m_cells.others().end() && known->second.m_region == m_self.m_region)
    {
        apply_outcomes(digest.m_loads, now);
    }
    apply_limits(digest.m_limits);
    m_listener.on_order_age(digest.m_since_order, now);
    m_listener.on_versions(from, digest.m_versions, now);
}

void fleet_exchange::on_demands(core::instance_id from, const wire::cell_demands& changes)
{
    const core::time_point now = core::runtime_clock::now();
    if (!changes.m_cell.empty())
    {
        m_state.m_limits.on_peer_demand_changes(cell_peer_id(changes.m_cell), changes.m_demands,
                                                now);
        return;
    }
    m_state.m_limits.on_peer_demand_changes(from, changes.m_demands, now);
    const auto known = m_last_heartbeats.find(from);
    if (known == m_last_heartbeats.end())
    {
        return;
    }
    for (const wire::workspace_demand& change : changes.m_demands)
    {
        for (wire::workspace_demand& last : known->second.m_demands)
        {
            if (last.m_workspace == change.m_workspace)
            {
                last = change;
            }
        }
    }
}

void fleet_exchange::on_part_notices(core::instance_id from, const wire::part_notices& notices)
{
    const core::instance_id sender = notices.m_cell.empty() ? from : cell_peer_id(notices.m_cell);
    for (const wire::part_notice& notice : notices.m_notices)
    {
        m_listener.on_part_notice(sender, notice);
    }
    if (!notices.m_cell.empty() || !collects_notices() || !m_cells.is_in_own(from) ||
        !is_speaker(core::runtime_clock::now()))
    {
        return;
    }
    const std::size_t room = m_settings.m_max_collected_notices - m_collected_notices.size();
    const std::size_t taken = std::min(room, notices.m_notices.size());
    m_collected_notices.insert(m_collected_notices.end(), notices.m_notices.begin(),
                               notices.m_notices.begin() + static_cast<std::ptrdiff_t>(taken));
}

void fleet_exchange::apply_state(const wire::member_state& state, core::time_point now)
{
    const instance_status status{state.m_started, state.m_ready, state.m_leaving,
                                 state.m_store_reached, state.m_cut_off};
    if (m_registry.on_status(state.m_instance, status, now))
    {
        m_state.m_limits.on_peer_restarted(state.m_instance, now);
        m_state.m_upstreams.remove_peer(state.m_instance);
    }
}

void fleet_exchange::apply_loads(core::instance_id from,
                                 const std::vector<wire::upstream_pulse>& loads,
                                 core::time_point now)
{
    for (const wire::upstream_pulse& report : loads)
    {
        if (const auto target = m_state.m_upstreams.find(report.m_upstream))
        {
            target->m_load.on_peer_report(
                from, {report.m_in_flight, report.m_tokens, report.m_backlog}, now);
        }
    }
}

void fleet_exchange::apply_outcomes(const std::vector<wire::upstream_pulse>& loads,
                                    core::time_point now)
{
    for (const wire::upstream_pulse& report : loads)
    {
        if (const auto target = m_state.m_upstreams.find(report.m_upstream))
        {
            target->m_health.on_peer_outcomes(report.m_served, report.m_failed, now);
        }
    }
}

/// Upstreams tell a limit to whoever they answer; the newest one holds for all instances.
void fleet_exchange::apply_limits(const std::vector<wire::upstream_limit>& limits)
{
    for (const wire::upstream_limit& each : limits)
    {
        const bool is_other = m_state.m_upstreams.on_limit(each.m_upstream, each.m_started,
                                                           {each.m_per_second, each.m_said_at},
                                                           m_state.shared_time());
        if (is_other)
        {
            observe::log("upstream_limit", {{"upstream", core::value_of(each.m_upstream)},
                                            {"per_second", each.m_per_second},
                                            {"from", "instance"}});
        }
    }
}

void fleet_exchange::send(core::instance_id peer, const net::encoded_message& message)
{
    if (!m_network.send(peer, message))
    {
        ++m_unsent_by_peer[peer];
    }
}

/// Logs one line for each instance whose link was full or that is no longer a member.
void fleet_exchange::report_unsent(core::time_point now)
{
    if (now < m_last_unsent_report + m_settings.m_unsent_report_interval)
    {
        return;
    }
    m_last_unsent_report = now;
    const net::peer_traffic& traffic = m_network.traffic();
    m_state.m_metrics.set_control("peer_bytes_sent", static_cast<double>(traffic.m_bytes_sent));
    m_state.m_metrics.set_control("peer_bytes_received",
                                  static_cast<double>(traffic.m_bytes_received));
    for (const auto& [peer, count] : m_unsent_by_peer)
    {
        observe::log("messages_dropped", {{"peer", core::value_of(peer)}, {"count", count}});
    }
    m_unsent_by_peer.clear();
}

/// Logs and counts what the links have carried since the start, by type of message.
void fleet_exchange::report_traffic(core::time_point now)
{
    if (now < m_last_traffic_report + m_settings.m_traffic_report_interval)
    {
        return;
    }
    m_last_traffic_report = now;
    const net::peer_traffic& traffic = m_network.traffic();
    for (std::size_t type = 0; type < traffic.m_sent_by_type.size(); ++type)
    {
        const net::message_traffic& sent = traffic.m_sent_by_type[type];
        if (sent.m_messages == 0)
        {
            continue;
        }
        const std::string name = wire::message_type_name(type);
        observe::log("peer_traffic",
                     {{"type", name}, {"messages", sent.m_messages}, {"bytes", sent.m_bytes}});
        m_state.m_metrics.set_control("peer_messages_sent_" + name,
                                      static_cast<double>(sent.m_messages));
        m_state.m_metrics.set_control("peer_bytes_sent_" + name, static_cast<double>(sent.m_bytes));
    }
}

bool fleet_exchange::is_speaker(core::time_point now) const
{
    return m_cells.speaker([this, now](core::instance_id instance) {
        return m_registry.is_alive(instance, now);
    }) == m_self.m_instance;
}

void fleet_exchange::send_digests()
{
    const core::time_point now = core::runtime_clock::now();
    if (m_cells.others().empty() || !is_speaker(now))
    {
        m_cell_outcomes.clear();
        return;
    }
    m_state.m_limits.mark_group_reported();
    send_to_other_cells(net::encoded_message(make_digest(now)), nullptr);
}

/// A burst can use up a workspace's limit faster than regular heartbeats report it.
void fleet_exchange::send_urgent_demands(core::time_point now)
{
    const auto due = m_state.m_limits.due_demands(now);
    if (!due.empty())
    {
        send_to_cell(net::encoded_message(wire::cell_demands{{}, due}));
    }
}

/// Same for the sums over this cell.
void fleet_exchange::send_cell_demands(core::time_point now)
{
    const auto interval = scaled_by_cells(m_settings.m_cell_demands_interval_per_cell);
    if (m_cells.others().empty() || now - m_last_cell_demands_check < interval || !is_speaker(now))
    {
        return;
    }
    m_last_cell_demands_check = now;
    const std::vector<core::workspace_id> due = m_state.m_limits.due_in_group();
    if (due.empty())
    {
        return;
    }
    for (const core::workspace_id workspace : due)
    {
        m_state.m_limits.mark_group_reported(workspace);
    }
    send_to_other_cells(net::encoded_message(make_cell_demands(due, now)), nullptr);
}

void fleet_exchange::send_collected_notices(core::time_point now)
{
    const auto interval = scaled_by_cells(m_settings.m_notice_interval_per_cell);
    if (m_collected_notices.empty() || now - m_last_notices < interval)
    {
        return;
    }
    m_last_notices = now;
    const wire::part_notices notices{m_cells.own().m_name, std::exchange(m_collected_notices, {})};
    send_to_other_cells(net::encoded_message(notices), nullptr);
}

std::chrono::milliseconds fleet_exchange::scaled_by_cells(std::chrono::milliseconds per_cell) const
{
    return per_cell * static_cast<std::int64_t>(m_cells.others().size() + 1);
}

std::chrono::milliseconds fleet_exchange::digest_interval() const
{
    return std::clamp(scaled_by_cells(m_settings.m_digest_interval_per_cell),
                      m_settings.m_min_digest_interval, m_settings.m_max_digest_interval);
}

void fleet_exchange::schedule_heartbeat()
{
    const std::size_t size = std::max<std::size_t>(m_cells.own().m_members.size(), 1);
    const auto interval = std::clamp<std::chrono::milliseconds>(
        m_settings.m_heartbeat_interval_per_instance * static_cast<std::int64_t>(size),
        m_settings.m_min_heartbeat_interval, m_settings.m_max_heartbeat_interval);
    const auto timeout = std::max<std::chrono::milliseconds>(
        m_settings.m_min_peer_timeout,
        interval * static_cast<std::int64_t>(m_settings.m_missed_heartbeats));
    m_registry.set_peer_timeout(
        std::max(timeout, m_cells.others().empty() ? timeout : digest_interval() * 3));
    m_heartbeat_timer.run_after(interval, [this] {
        const core::time_point now = core::runtime_clock::now();
        broadcast_heartbeat();
        report_unsent(now);
        report_traffic(now);
        schedule_heartbeat();
    });
}

void fleet_exchange::schedule_urgent()
{
    m_urgent_timer.run_after(m_settings.m_urgent_check_interval, [this] {
        const core::time_point now = core::runtime_clock::now();
        send_urgent_demands(now);
        send_cell_demands(now);
        send_collected_notices(now);
        schedule_urgent();
    });
}

void fleet_exchange::schedule_digest()
{
    m_digest_timer.run_after(digest_interval(), [this] {
        send_digests();
        schedule_digest();
    });
}

/// A random instance of the cell while none is known to be alive.
core::instance_id fleet_exchange::receiver_in(const exchange_cell& cell, core::time_point now)
{
    const auto receiver = m_cells.receiver_in(cell, [this, now](core::instance_id instance) {
        return m_registry.is_alive(instance, now);
    });
    return receiver ? *receiver : cell.m_members[m_state.m_random.below(cell.m_members.size())];
}

core::instance_id fleet_exchange::cell_peer_id(const std::string& cell)
{
    return core::id_of<core::instance_id>("cell/" + cell);
}

} // namespace tarragontrail::relay
