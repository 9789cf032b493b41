#pragma once

#include "tarragontrail/config/setting_checks.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Entry instance on an operators' platform: relays callers' requests to the upstreams that the
/// platform lists.
struct relay_settings
{
    std::string m_name = "relay-1";            ///< Name of this instance, unique in the fleet.
    std::string m_region = "region-1";         ///< Region of this instance.
    std::string m_failure_domain = "domain-1"; ///< Failure domain of this instance.
    std::string m_regions = "{}"; ///< JSON object that names the region of each failure domain.
    std::string m_address = "127.0.0.1"; ///< Numeric address that other instances connect to.
    std::string m_caller_listen = "127.0.0.1:8080"; ///< Address for callers.
    std::string m_ready_listen = "127.0.0.1:8081"; ///< Address for the platform's readiness checks.
    std::string m_directory_listen =
        "127.0.0.1:8082";                       ///< Address for callers that ask where to connect.
    std::string m_internal_ports = "8090,8099"; ///< First and last port for traffic among
                                                ///< instances; metrics are on the second.
    std::string m_store = "127.0.0.1:9000";     ///< Address of the platform's store.
    bool m_fencing = true; ///< Engines refuse orders with an older fencing number.
    std::chrono::milliseconds m_lease{
        3000};                    ///< Orders of two holders of a duty lie at least so far apart.
    double m_grace_seconds = 8.0; ///< Seconds from SIGTERM until the platform kills the process.
    std::chrono::milliseconds m_drain{
        2500}; ///< No request goes to a leaving upstream later than this.
    std::chrono::milliseconds m_weights_limit{
        8000}; ///< No request begins on old weights later than this after newer ones were named.
    std::chrono::milliseconds m_apply_limit{
        2500};                   ///< A new configuration is in force everywhere within this time.
    double m_link_mbps = 1000.0; ///< Bandwidth of this machine's link, in Mbit/s.
    double m_retry_ratio = 0.2; ///< Requests sent again, as a part of all requests, over the fleet.
    double m_retry_slack = 58.0; ///< Requests sent again beyond that in one window, over the fleet.
    double m_retry_window_seconds = 10.0; ///< Seconds of the retry budget's window.
    std::chrono::milliseconds m_directory_ttl{
        2000}; ///< Time for which callers keep an answer of the directory.
    std::uint64_t m_connection_limit = 1500; ///< Callers' connections at most.
    std::uint64_t m_log_bytes_per_second =
        200000;               ///< Log bytes written at most; further lines are dropped and counted.
    double m_memory_mb = 260; ///< Memory that this process may use, in MB; its shares for clients
                              ///< are in docs/OPERATIONS.md.
    double m_descriptors = 4100; ///< Files and sockets that this process may have open; its shares
                                 ///< for clients are in docs/OPERATIONS.md.
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
relay_settings load_relay_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
