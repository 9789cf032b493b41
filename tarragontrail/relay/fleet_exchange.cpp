#include "tarragontrail/relay/fleet_exchange.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

net::peer_link_settings link_settings()
{
    net::peer_link_settings settings;
    settings.m_connect_timeout = std::chrono::milliseconds(500);
    settings.m_heartbeat_interval = std::chrono::milliseconds(1'000);
    // Words and heartbeats come at least once a second, so a link without any has gone silent.
    settings.m_silence_timeout = std::chrono::milliseconds(2'200);
    settings.m_queue_limit = 64;
    return settings;
}

} // namespace

fleet_exchange::fleet_exchange(boost::asio::io_context& context, fleet_exchange_settings settings,
                               const fleet_member& self, const net::tcp::endpoint& endpoint,
                               relay_state& state, instance_registry& roster,
                               fleet_exchange_listener& listener)
    : m_settings(settings), m_self(self), m_state(state), m_roster(roster), m_listener(listener),
      m_network(context, endpoint, wire::hello{self.m_instance, self.m_started}, link_settings(),
                *this),
      m_pulse_timer(context), m_urgent_timer(context), m_digest_timer(context)
{}

void fleet_exchange::start()
{
    schedule_pulse();
    schedule_urgent();
    schedule_digest();
}

void fleet_exchange::speak()
{
    tell_region(describe(core::runtime_clock::now()));
}

void fleet_exchange::update_members()
{
    std::vector<net::peer_address> addresses;
    std::vector<core::instance_id> near;
    std::vector<core::instance_id> regions;
    m_regions.clear();
    for (const auto& [instance, member] : m_roster.members())
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
            continue;
        }
        if (member.m_region == m_self.m_region)
        {
            near.push_back(instance);
        }
        else if (m_regions.insert(member.m_region).second)
        {
            regions.push_back(id_of_region(member.m_region));
        }
    }
    m_network.set_peers(addresses);
    m_state.m_limits.set_peers(near, regions, core::runtime_clock::now());
    m_region_size = near.size() + 1;
    std::erase_if(m_words,
                  [this](const auto& entry) { return !m_roster.members().contains(entry.first); });
    observe::log("members", {{"count", addresses.size() + 1}, {"region", m_region_size}});
}

void fleet_exchange::tell_region(const wire::message& message)
{
    for (const auto& [instance, member] : m_roster.members())
    {
        if (instance != m_self.m_instance && member.m_region == m_self.m_region)
        {
            send(instance, message);
        }
    }
}

void fleet_exchange::tell_all(const wire::message& message)
{
    tell_region(message);
    const core::time_point now = core::runtime_clock::now();
    for (const std::string& region : m_regions)
    {
        if (const auto entry = entry_of(region, now))
        {
            send(*entry, message);
        }
    }
}

void fleet_exchange::tell(core::instance_id peer, const wire::message& message)
{
    send(peer, message);
}

void fleet_exchange::on_peer_message(core::instance_id from, const wire::message& message)
{
    if (const auto* pulse = std::get_if<wire::instance_pulse>(&message))
    {
        on_pulse(from, *pulse);
        return;
    }
    const bool is_answer = std::holds_alternative<wire::rows_request>(message) ||
                           std::holds_alternative<wire::rows_answer>(message);
    if (is_other_region(from) && !is_answer)
    {
        // It came over the regions' link once; from here it goes on within the region.
        tell_region(message);
    }
    if (const auto* digest = std::get_if<wire::region_digest>(&message))
    {
        on_digest(from, *digest);
        return;
    }
    m_listener.on_message(from, message);
}

void fleet_exchange::on_pulse(core::instance_id from, const wire::instance_pulse& pulse)
{
    const core::time_point now = core::runtime_clock::now();
    wire::member_state state = pulse.m_state;
    state.m_instance = from;
    take_state(state, now);
    m_state.m_limits.on_peer_demands(from, pulse.m_demands, now);
    take_loads(from, pulse.m_loads, now);
    for (const wire::upstream_pulse& told : pulse.m_loads)
    {
        if (const auto known = m_state.m_upstreams.find(told.m_upstream))
        {
            known->m_health.on_peer_outcomes(told.m_served, told.m_failed, now);
        }
    }
    m_words[from] = pulse;
    m_listener.on_order_age(pulse.m_since_order, now);
    m_listener.on_versions(from, pulse.m_versions, now);
}

void fleet_exchange::on_digest(core::instance_id from, const wire::region_digest& digest)
{
    const core::time_point now = core::runtime_clock::now();
    if (digest.m_region == m_self.m_region)
    {
        return;
    }
    for (const wire::member_state& state : digest.m_members)
    {
        take_state(state, now);
    }
    const core::instance_id region = id_of_region(digest.m_region);
    m_state.m_limits.on_peer_demands(region, digest.m_demands, now);
    take_loads(region, digest.m_loads, now);
    m_listener.on_order_age(digest.m_since_order, now);
    m_listener.on_versions(from, digest.m_versions, now);
}

void fleet_exchange::take_state(const wire::member_state& state, core::time_point now)
{
    const member_word word{state.m_started, state.m_ready, state.m_leaving, state.m_store_reached};
    if (m_roster.on_word(state.m_instance, word, now))
    {
        m_state.m_limits.on_peer_restarted(state.m_instance, now);
        m_state.m_upstreams.forget_peer(state.m_instance);
    }
}

void fleet_exchange::take_loads(core::instance_id from,
                                const std::vector<wire::upstream_pulse>& loads,
                                core::time_point now)
{
    for (const wire::upstream_pulse& told : loads)
    {
        if (const auto known = m_state.m_upstreams.find(told.m_upstream))
        {
            known->m_load.on_peer_load(from, {told.m_in_flight, told.m_tokens, told.m_backlog},
                                       now);
        }
    }
}

void fleet_exchange::send(core::instance_id peer, const wire::message& message)
{
    if (!m_network.send(peer, message))
    {
        ++m_unsent[peer];
    }
}

/// One line for each instance whose link was full or that is not known any more.
void fleet_exchange::report_unsent(core::time_point now)
{
    if (now < m_unsent_reported + m_settings.m_unsent_report)
    {
        return;
    }
    m_unsent_reported = now;
    for (const auto& [peer, count] : m_unsent)
    {
        observe::log("messages_dropped", {{"peer", core::value_of(peer)}, {"count", count}});
    }
    m_unsent.clear();
}

void fleet_exchange::send_digests()
{
    const core::time_point now = core::runtime_clock::now();
    if (m_regions.empty() || m_roster.speaker_of(m_self.m_region, now) != m_self.m_instance)
    {
        return;
    }
    m_state.m_limits.mark_region_demands_reported();
    const wire::region_digest told = digest(now);
    for (const std::string& region : m_regions)
    {
        if (const auto entry = entry_of(region, now))
        {
            send(*entry, told);
        }
    }
}

void fleet_exchange::schedule_pulse()
{
    const auto pause = std::clamp<std::chrono::milliseconds>(
        m_settings.m_pulse_per_peer * static_cast<std::int64_t>(m_region_size),
        m_settings.m_least_pulse, m_settings.m_most_pulse);
    const auto silence = std::max<std::chrono::milliseconds>(
        m_settings.m_least_silence,
        pause * static_cast<std::int64_t>(m_settings.m_pulses_of_silence));
    m_roster.set_silence(std::max(silence, m_regions.empty() ? silence : m_settings.m_digest * 3));
    net::run_after(m_pulse_timer, pause, [this] {
        speak();
        report_unsent(core::runtime_clock::now());
        schedule_pulse();
    });
}

/// A flood uses a workspace's burst up faster than the regular words tell of it.
void fleet_exchange::schedule_urgent()
{
    net::run_after(m_urgent_timer, m_settings.m_urgent, [this] {
        if (m_state.m_limits.is_demand_report_due())
        {
            speak();
        }
        if (m_state.m_limits.is_region_demand_report_due())
        {
            send_digests();
        }
        schedule_urgent();
    });
}

void fleet_exchange::schedule_digest()
{
    net::run_after(m_digest_timer, m_settings.m_digest, [this] {
        send_digests();
        schedule_digest();
    });
}

bool fleet_exchange::is_other_region(core::instance_id instance) const
{
    const auto member = m_roster.members().find(instance);
    return member != m_roster.members().end() && member->second.m_region != m_self.m_region;
}

/// Instance through which news enter another region; any one before the region was heard.
std::optional<core::instance_id> fleet_exchange::entry_of(const std::string& region,
                                                          core::time_point now)
{
    if (const auto speaker = m_roster.speaker_of(region, now))
    {
        return speaker;
    }
    std::vector<core::instance_id> known;
    for (const auto& [instance, member] : m_roster.members())
    {
        if (member.m_region == region)
        {
            known.push_back(instance);
        }
    }
    if (known.empty())
    {
        return std::nullopt;
    }
    return known[m_state.m_random.below(known.size())];
}

core::instance_id fleet_exchange::id_of_region(const std::string& region)
{
    return core::id_of<core::instance_id>("region/" + region);
}

} // namespace tarragontrail::relay
