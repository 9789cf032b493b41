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
    link& opened = m_links[connection];
    opened = {};
    opened.m_upstream = upstream;
    opened.m_limit = now + m_settings.m_heartbeat;

    // A probe must be answered, not just accepted.
    if (m_circuits[upstream].m_state == circuit_state::half_open)
    {
        opened.m_probed = true;
        opened.m_limit = now + m_settings.m_heartbeat_limit;
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
    const auto found = m_links.find(connection);
    if (found == m_links.end())
    {
        return;
    }
    link& used = found->second;
    const core::time_point limit = now + expected + m_settings.m_read_limit;
    used.m_limit = used.m_busy || used.m_probed ? std::min(used.m_limit, limit) : limit;
    used.m_busy = true;
}

void connection_health::on_received(connection_id connection, bool idle, core::time_point now)
{
    const auto found = m_links.find(connection);
    if (found == m_links.end())
    {
        return;
    }
    link& alive = found->second;
    const bool first = !std::exchange(alive.m_worked, true);
    alive.m_probed = false;
    alive.m_busy = !idle;
    alive.m_limit = now + (idle ? m_settings.m_heartbeat : m_settings.m_read_limit);
    if (!first)
    {
        return;
    }

    // A new connection works, so the upstream does.
    circuit& state = m_circuits[alive.m_upstream];
    state.m_failures = 0;
    state.m_openings = 0;
    set_state(alive.m_upstream, circuit_state::closed);
}

void connection_health::on_failed(connection_id connection, core::time_point now)
{
    if (m_links.contains(connection))
    {
        lose(connection, now);
    }
}

void connection_health::on_closed(connection_id connection)
{
    m_links.erase(connection);
}

bool connection_health::allows(core::upstream_id upstream) const
{
    const auto found = m_circuits.find(upstream);
    return found == m_circuits.end() || found->second.m_state == circuit_state::closed;
}

void connection_health::on_timer(core::time_point now)
{
    std::vector<connection_id> silent;
    for (const auto& [connection, state] : m_links)
    {
        if (state.m_limit <= now)
        {
            silent.push_back(connection);
        }
    }
    for (const connection_id connection : silent)
    {
        check_link(connection, now);
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
    for (const auto& [connection, state] : m_links)
    {
        consider(state.m_limit);
    }
    for (const auto& [upstream, state] : m_circuits)
    {
        if (state.m_state != circuit_state::closed)
        {
            consider(state.m_due);
        }
    }
    return next;
}

std::vector<health_action> connection_health::take_actions()
{
    return std::exchange(m_actions, {});
}

void connection_health::check_link(connection_id connection, core::time_point now)
{
    link& state = m_links.at(connection);
    if (state.m_busy || state.m_probed)
    {
        lose(connection, now);
        return;
    }
    state.m_probed = true;
    state.m_limit = now + m_settings.m_heartbeat_limit;
    m_actions.emplace_back(send_heartbeat{connection});
}

void connection_health::check_circuit(core::upstream_id upstream, core::time_point now)
{
    circuit& state = m_circuits.at(upstream);
    if (state.m_state == circuit_state::closed || state.m_due > now)
    {
        return;
    }
    if (state.m_state == circuit_state::half_open)
    {
        open_circuit(upstream, now);
        return;
    }
    state.m_due = now + m_settings.m_read_limit + m_settings.m_heartbeat_limit;
    set_state(upstream, circuit_state::half_open);
    m_actions.emplace_back(open_connection{upstream, true});
}

void connection_health::lose(connection_id connection, core::time_point now)
{
    const link lost = m_links.at(connection);
    m_links.erase(connection);
    m_actions.emplace_back(close_connection{connection});
    if (!lost.m_worked)
    {
        count_failure(lost.m_upstream, now);
        return;
    }

    // The connection is suspected first: a new one shows whether the upstream works.
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
        state.m_failures >= m_settings.m_failures_to_open)
    {
        open_circuit(upstream, now);
    }
}

void connection_health::open_circuit(core::upstream_id upstream, core::time_point now)
{
    circuit& state = m_circuits[upstream];
    TARRAGONTRAIL_INVARIANT(state.m_failures > 0, "circuit_opens_on_new_connections_failures");
    const std::uint64_t doublings = std::min<std::uint64_t>(state.m_openings, 16);
    const std::chrono::milliseconds longest =
        std::min(m_settings.m_open_first * (std::int64_t{1} << doublings), m_settings.m_open_limit);
    ++state.m_openings;
    state.m_due = now + core::scaled(longest, 0.5 + 0.5 * m_random.unit());
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
