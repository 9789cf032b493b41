#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/core/random.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace tarragontrail::recovery {

/// Connection to an upstream, unique in one process.
enum class connection_id : std::uint64_t
{
};

/// Settings of connection_health.
struct connection_health_settings
{
    std::chrono::milliseconds m_read_timeout{3000}; ///< Silence with work outstanding that closes.
    std::chrono::milliseconds m_heartbeat_interval{
        10000}; ///< An idle connection is probed after this.
    std::chrono::milliseconds m_heartbeat_timeout{2000}; ///< A probe must be answered within this.
    std::uint64_t m_failure_threshold = 3;               ///< Failures of new connections that open.
    std::chrono::milliseconds m_initial_open_time{500}; ///< First time that the circuit stays open.
    std::chrono::milliseconds m_max_open_time{15000};   ///< Longest time that it stays open.
};

/// State of an upstream's circuit.
enum class circuit_state
{
    closed,    ///< Work goes there.
    open,      ///< No work goes there.
    half_open, ///< One probe on a new connection is under way.
};

/// Asks the shell to probe an idle connection.
struct send_heartbeat
{
    connection_id m_connection{}; ///< Connection.
};

/// Asks the shell to close a connection; requests on it are lost with it.
struct close_connection
{
    connection_id m_connection{}; ///< Connection.
};

/// Asks the shell to open a new connection to an upstream, to try it.
struct open_connection
{
    core::upstream_id m_upstream{}; ///< Upstream.
    bool m_probe = false;           ///< Probe of a circuit that is half open.
};

/// An upstream's circuit changed.
struct circuit_changed
{
    core::upstream_id m_upstream{}; ///< Upstream.
    circuit_state m_state{};        ///< New state.
};

/// What connection_health asks of its shell.
using health_action =
    std::variant<send_heartbeat, close_connection, open_connection, circuit_changed>;

/// Tells a silent connection from a failed upstream.
///
/// A failure on a connection that worked before speaks against that connection only. Failures to
/// open a new connection, or on one that never worked, count against the upstream.
class connection_health
{
public:
    connection_health(connection_health_settings settings, std::uint64_t seed);

    /// A new connection was established.
    void on_opened(connection_id connection, core::upstream_id upstream, core::time_point now);

    /// A new connection could not be established.
    void on_open_failed(core::upstream_id upstream, core::time_point now);

    /// A request was written to a connection; silence for `expected` is normal before its answer.
    void on_request(connection_id connection, core::duration expected, core::time_point now);

    /// Bytes or a heartbeat answer arrived; `idle` when nothing is outstanding any more.
    void on_received(connection_id connection, bool idle, core::time_point now);

    /// The connection failed by an error of its own.
    void on_failed(connection_id connection, core::time_point now);

    /// The shell closed the connection in good order.
    void on_closed(connection_id connection);

    /// Work may be sent to the upstream.
    bool allows(core::upstream_id upstream) const;

    /// Handles everything that is due.
    void on_timer(core::time_point now);

    /// When on_timer is wanted next.
    std::optional<core::time_point> next_deadline() const;

    /// Actions since the last call.
    std::vector<health_action> take_actions();

private:
    /// One connection.
    struct connection_state
    {
        core::upstream_id m_upstream{};  ///< Upstream.
        bool m_has_received = false;     ///< Something was received on it.
        bool m_awaits_heartbeat = false; ///< A heartbeat is outstanding.
        bool m_has_request = false;      ///< A request is outstanding.
        core::time_point m_deadline{};   ///< Silence beyond this is a failure, or leads to a probe.
    };

    /// One upstream's circuit.
    struct circuit
    {
        circuit_state m_state = circuit_state::closed; ///< State.
        std::uint64_t m_failures = 0;                  ///< Failures of new connections in a row.
        std::uint64_t m_openings = 0;                  ///< Openings in a row.
        core::time_point m_next_transition{};          ///< When the probe starts, or has failed.
    };

    void drop_connection(connection_id connection, core::time_point now);
    void count_failure(core::upstream_id upstream, core::time_point now);
    void open_circuit(core::upstream_id upstream, core::time_point now);
    void set_state(core::upstream_id upstream, circuit_state state);
    void check_connection(connection_id connection, core::time_point now);
    void check_circuit(core::upstream_id upstream, core::time_point now);

    connection_health_settings m_settings;                   ///< Settings.
    core::seeded_random m_random;                            ///< Source of jitter.
    std::map<connection_id, connection_state> m_connections; ///< Connections.
    std::map<core::upstream_id, circuit> m_circuits;         ///< Upstreams.
    std::vector<health_action> m_actions;                    ///< Actions not yet taken.
};

} // namespace tarragontrail::recovery
