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

/// Identifies a connection to an upstream; unique in one process.
enum class connection_id : std::uint64_t
{
};

/// Settings of connection_health.
struct connection_health_settings
{
    /// Silence with a request outstanding after which a connection is closed.
    std::chrono::milliseconds m_read_timeout{3000};
    /// Idle time after which a heartbeat is sent.
    std::chrono::milliseconds m_heartbeat_interval{10000};
    /// A heartbeat must be answered within this time.
    std::chrono::milliseconds m_heartbeat_timeout{2000};
    /// Consecutive failures of new connections that open the circuit.
    std::uint64_t m_failure_threshold = 3;
    /// Time that the circuit stays open at first.
    std::chrono::milliseconds m_initial_open_time{500};
    std::chrono::milliseconds m_max_open_time{15000}; ///< Maximum time that the circuit stays open.
};

/// State of an upstream's circuit.
enum class circuit_state
{
    closed,    ///< Requests are sent.
    open,      ///< No requests are sent.
    half_open, ///< One probe on a new connection is in progress.
};

/// Requests a heartbeat on an idle connection.
struct send_heartbeat
{
    connection_id m_connection{};
};

/// Requests that a connection is closed; requests on it are lost.
struct close_connection
{
    connection_id m_connection{};
};

/// Requests a new connection to an upstream, as a test of the upstream.
struct open_connection
{
    core::upstream_id m_upstream{};
    bool m_probe = false; ///< Probe of a half-open circuit.
};

/// Reports that the state of an upstream's circuit changed.
struct circuit_changed
{
    core::upstream_id m_upstream{};
    circuit_state m_state{};
};

/// Action that connection_health requests from the I/O layer.
using health_action =
    std::variant<send_heartbeat, close_connection, open_connection, circuit_changed>;

/// Distinguishes a failed connection from a failed upstream.
///
/// A failure on a connection that has received data counts against that connection only. Failures
/// to open a connection, or on one that has never received data, count against the upstream and
/// open its circuit.
class connection_health
{
public:
    connection_health(connection_health_settings settings, std::uint64_t seed);

    void on_opened(connection_id connection, core::upstream_id upstream, core::time_point now);

    void on_open_failed(core::upstream_id upstream, core::time_point now);

    /// A request was written to a connection; silence of up to `expected` before its answer is
    /// normal.
    void on_request(connection_id connection, core::duration expected, core::time_point now);

    /// Data or a heartbeat answer was received; `idle` if no request is outstanding any more.
    void on_received(connection_id connection, bool idle, core::time_point now);

    /// The connection failed with an I/O error.
    void on_failed(connection_id connection, core::time_point now);

    /// The I/O layer closed the connection normally.
    void on_closed(connection_id connection);

    /// Whether requests may be sent to the upstream, i.e. its circuit is closed.
    bool allows(core::upstream_id upstream) const;

    /// Handles timeouts that are due at `now`.
    void on_timer(core::time_point now);

    /// Time of the next on_timer() call, if any.
    std::optional<core::time_point> next_deadline() const;

    /// Returns the actions since the last call.
    std::vector<health_action> take_actions();

private:
    struct connection_state
    {
        core::upstream_id m_upstream{};
        bool m_has_received = false; ///< Data was received on it.
        bool m_awaits_heartbeat = false;
        bool m_has_request = false;
        core::time_point m_deadline{}; ///< Silence until this time is a failure, or triggers a
                                       ///< heartbeat if idle.
    };

    /// Circuit of one upstream.
    struct circuit
    {
        circuit_state m_state = circuit_state::closed;
        std::uint64_t m_failures = 0; ///< Consecutive failures of new connections.
        std::uint64_t m_openings = 0; ///< Openings since the circuit was last closed.
        /// Start of the probe while open; its timeout while half open.
        core::time_point m_next_transition{};
    };

    void drop_connection(connection_id connection, core::time_point now);
    void count_failure(core::upstream_id upstream, core::time_point now);
    void open_circuit(core::upstream_id upstream, core::time_point now);
    void set_state(core::upstream_id upstream, circuit_state state);
    void check_connection(connection_id connection, core::time_point now);
    void check_circuit(core::upstream_id upstream, core::time_point now);

    connection_health_settings m_settings;
    core::seeded_random m_random; ///< Jitter of the open time.
    std::map<connection_id, connection_state> m_connections;
    std::map<core::upstream_id, circuit> m_circuits;
    std::vector<health_action> m_actions; ///< Returned by the next take_actions().
};

} // namespace tarragontrail::recovery
