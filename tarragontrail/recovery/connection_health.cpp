#include "tarragontrail/recovery/connection_health.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::recovery {

connection_health::connection_health(connection_health_settings settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{}

void connection_health::on_opened(connection_id connection, core::upstream_id upstream,
                                  core::time_point now)
{
    connection_state& opened = m_connections[connection];
    opened = {};
    opened.m_upstream = upstream;
    opened.m_deadline = now + m_settings.m_heartbeat_interval;

    // A probe succeeds only with an answer: an accepted connection alone does not prove that the
    // upstream works.
    if (m_circuits[upstream].m_state == circuit_state::half_open)
    {
        opened.m_awaits_heartbeat = true;
        opened.m_deadline = now + m_settings.m_heartbeat_timeout;
        m_actions.emplace_back(send_heartbeat{connection});
    }
}

void connection_health::on_open_failed(core::upstream_id upstream, core::time_point now)
{
    count_failure(upstream, now);
}

void connection_health::on_request(connection_id connection, core::duration expected,
                                   core::time_point now)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
    {
        return;
    }
    connection_state& used = found->second;
    const core::time_point limit = now + expected + m_settings.m_read_timeout;
    used.m_deadline =
        used.m_has_request || used.m_awaits_heartbeat ? std::min(used.m_deadline, limit) : limit;
    used.m_has_request = true;
}

void connection_health::on_received(connection_id connection, bool idle, core::time_point now)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
    {
        return;
    }
    connection_state& alive = found->second;
    const bool first = !std::exchange(alive.m_has_received, true);
    alive.m_awaits_heartbeat = false;
    alive.m_has_request = !idle;
    alive.m_deadline = now + (idle ? m_settings.m_heartbeat_interval : m_settings.m_read_timeout);
    if (!first)
    {
        return;
    }

    // Data on a new connection proves that the upstream works.
    circuit& state = m_circuits[alive.m_upstream];
    state.m_failures = 0;
    state.m_openings = 0;
    set_state(alive.m_upstream, circuit_state::closed);
}

void connection_health::on_failed(connection_id connection, core::time_point now)
{
    if (m_connections.contains(connection))
    {
        drop_connection(connection, now);
    }
}

void connection_health::on_closed(connection_id connection)
{
    m_connections.erase(connection);
}

bool connection_health::allows(core::upstream_id upstream) const
{
    const auto found = m_circuits.find(upstream);
    return found == m_circuits.end() || found->second.m_state == circuit_state::closed;
}

void connection_health::on_timer(core::time_point now)
{
    std::vector<connection_id> silent;
    for (const auto& [connection, state] : m_connections)
    {
        if (state.m_deadline <= now)
        {
            silent.push_back(connection);
        }
    }
    for (const connection_id connection : silent)
    {
        check_connection(connection, now);
    }
    for (const auto& [upstream, state] : m_circuits)
    {
        check_circuit(upstream, now);
    }
}

std::optional<core::time_point> connection_health::next_deadline() const
{
    std::optional<core::time_point> next;
    const auto consider = [&](core::time_point when) {
        next = next ? std::min(*next, when) : when;
    };
    for (const auto& [connection, state] : m_connections)
    {
        consider(state.m_deadline);
    }
    for (const auto& [upstream, state] : m_circuits)
    {
        if (state.m_state != circuit_state::closed)
        {
            consider(state.m_next_transition);
        }
    }
    return next;
}

std::vector<health_action> connection_health::take_actions()
{
    return std::exchange(m_actions, {});
}

void connection_health::check_connection(connection_id connection, core::time_point now)
{
    connection_state& state = m_connections.at(connection);
    if (state.m_has_request || state.m_awaits_heartbeat)
    {
        drop_connection(connection, now);
        return;
    }
    state.m_awaits_heartbeat = true;
    state.m_deadline = now + m_settings.m_heartbeat_timeout;
    m_actions.emplace_back(send_heartbeat{connection});
}

void connection_health::check_circuit(core::upstream_id upstream, core::time_point now)
{
    circuit& state = m_circuits.at(upstream);
    if (state.m_state == circuit_state::closed || state.m_next_transition > now)
    {
        return;
    }
    if (state.m_state == circuit_state::half_open)
    {
        open_circuit(upstream, now);
        return;
    }
    state.m_next_transition = now + m_settings.m_read_timeout + m_settings.m_heartbeat_timeout;
    set_state(upstream, circuit_state::half_open);
    m_actions.emplace_back(open_connection{upstream, true});
}

void connection_health::drop_connection(connection_id connection, core::time_point now)
{
    const connection_state lost = m_connections.at(connection);
    m_connections.erase(connection);
    m_actions.emplace_back(close_connection{connection});
    if (!lost.m_has_received)
    {
        count_failure(lost.m_upstream, now);
        return;
    }

    // Only the connection is suspected so far: a new one shows whether the upstream works.
    if (allows(lost.m_upstream))
    {
        m_actions.emplace_back(open_connection{lost.m_upstream, false});
    }
}

void connection_health::count_failure(core::upstream_id upstream, core::time_point now)
{
    circuit& state = m_circuits[upstream];
    ++state.m_failures;
    if (state.m_state == circuit_state::open)
    {
        return;
    }
    if (state.m_state == circuit_state::half_open ||
        state.m_failures >= m_settings.m_failure_threshold)
    {
        open_circuit(upstream, now);
    }
}

void connection_health::open_circuit(core::upstream_id upstream, core::time_point now)
{
    circuit& state = m_circuits[upstream];
    TARRAGONTRAIL_INVARIANT(state.m_failures > 0, "circuit_opens_on_new_connections_failures");
    const std::uint64_t doublings = std::min<std::uint64_t>(state.m_openings, 16);
    const std::chrono::milliseconds max_open_time =
        std::min(m_settings.m_initial_open_time * (std::int64_t{1} << doublings),
                 m_settings.m_max_open_time);
    ++state.m_openings;
    state.m_next_transition = now + core::scaled(max_open_time, 0.5 + 0.5 * m_random.unit());
    set_state(upstream, circuit_state::open);
}

void connection_health::set_state(core::upstream_id upstream, circuit_state state)
{
    circuit& changed = m_circuits[upstream];
    if (changed.m_state == state)
    {
        return;
    }
    changed.m_state = state;
    m_actions.emplace_back(circuit_changed{upstream, state});
}

} // namespace tarragontrail::recovery
