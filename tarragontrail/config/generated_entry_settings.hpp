#pragma once

#include "tarragontrail/config/setting_checks.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Entry instance: serves callers and its share of the control duties.
struct entry_settings
{
    std::string m_name = "entry-1";            ///< Name of this instance, unique in the fleet.
    std::string m_region = "region-1";         ///< Region of this instance.
    std::string m_failure_domain = "domain-1"; ///< Failure domain of this instance.
    std::string m_address = "127.0.0.1"; ///< Numeric address that all listeners bind and that peers
                                         ///< and callers connect to.
    std::uint64_t m_caller_port = 8080;  ///< TCP port for callers.
    std::uint64_t m_peer_port = 8081;    ///< TCP port for other entry instances.
    std::uint64_t m_admin_port = 8082;   ///< TCP port for the administration API and health checks.
    std::uint64_t m_metrics_port = 8083; ///< TCP port for Prometheus metrics.
    std::string m_platform = "127.0.0.1:9000"; ///< Address and port of the platform's services.
    std::chrono::milliseconds m_drain_timeout{
        30000}; ///< Longest wait for running requests after SIGTERM.
    std::chrono::milliseconds m_platform_timeout{
        1500};               ///< Longest wait for one call to the platform.
    std::string m_operators; ///< Operators as name=digest pairs separated by commas; a digest is
                             ///< the SHA-256 of the operator's token in hexadecimal.
    std::chrono::milliseconds m_drain_linger{
        3000}; ///< Time after SIGTERM in which new connections are still served, so that answers to
               ///< locate run out.
    std::chrono::milliseconds m_key_freshness{
        10000};                      ///< Oldest word on keys under which keyed routes are served.
    std::uint64_t m_limit_homes = 4; ///< Instances that a workspace's rate and burst are split
                                     ///< over; the same on all instances.
    std::uint64_t m_genesis_members = 3; ///< Members that the first split of all limits waits for.
    std::chrono::milliseconds m_list_lag{
        15000}; ///< Longest lag of the platform's list of instances.
    std::string m_routing_policy = "least_cost"; ///< Way to choose an engine: random, least_loaded,
                                                 ///< rendezvous, bounded_rendezvous or least_cost.
    std::uint64_t m_candidates = 3;              ///< Engines weighed for one prefix.
    std::chrono::milliseconds m_lookup_timeout{
        10};                         ///< Longest wait for the instances that watch the candidates.
    double m_recompute_weight = 1.0; ///< Weight of recomputed prompt tokens against waiting; higher
                                     ///< favours hit rate over first-token time.
    std::uint64_t m_anchor_depth =
        2; ///< Prompt pieces in the hashing key before anything is learned.
    std::uint64_t m_region_link_bytes_per_s =
        100000; ///< This instance's share of the link between regions, in bytes a second.
    std::uint64_t m_engine_in_flight_tokens =
        200000; ///< Tokens that this instance has in flight at one engine at most.
    std::chrono::milliseconds m_upstream_silence{
        15000}; ///< Silence of an upstream at which an attempt is given up.
    std::uint64_t m_header_limit_bytes = 16384;      ///< Largest head of a caller's request.
    std::uint64_t m_body_limit_bytes = 8388608;      ///< Largest body of a caller's request.
    std::chrono::milliseconds m_read_timeout{10000}; ///< Longest arrival of a caller's request.
    std::uint64_t m_max_output_tokens = 8192;        ///< Largest output that a caller may ask for.
    std::uint64_t m_session_limit = 2048;            ///< Callers' requests served at once.
    double m_memory_mb = 260; ///< Memory that this process may use, in MB; its shares for clients
                              ///< are in docs/OPERATIONS.md.
    double m_descriptors = 4100; ///< Files and sockets that this process may have open; its shares
                                 ///< for clients are in docs/OPERATIONS.md.
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
entry_settings load_entry_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
