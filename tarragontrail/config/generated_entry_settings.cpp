#include "tarragontrail/config/generated_entry_settings.hpp"

#include <array>
#include <gflags/gflags.h>

DEFINE_string(name, "entry-1", "Name of this instance, unique in the fleet.");
DEFINE_string(region, "region-1", "Region of this instance.");
DEFINE_string(failure_domain, "domain-1", "Failure domain of this instance.");
DEFINE_string(address, "127.0.0.1",
              "Numeric address that all listeners bind and that peers and callers connect to.");
DEFINE_uint64(caller_port, 8080, "TCP port for callers.");
DEFINE_uint64(peer_port, 8081, "TCP port for other entry instances.");
DEFINE_uint64(admin_port, 8082, "TCP port for the administration API and health checks.");
DEFINE_uint64(metrics_port, 8083, "TCP port for Prometheus metrics.");
DEFINE_string(platform, "127.0.0.1:9000", "Address and port of the platform's services.");
DEFINE_double(drain_timeout, 30000, "Longest wait for running requests after SIGTERM.");
DEFINE_double(platform_timeout, 1500, "Longest wait for one call to the platform.");
DEFINE_string(operators, "",
              "Operators as name=digest pairs separated by commas; a digest is the SHA-256 of the "
              "operator's token in hexadecimal.");
DEFINE_double(drain_linger, 3000,
              "Time after SIGTERM in which new connections are still served, so that answers to "
              "locate run out.");
DEFINE_double(key_freshness, 10000, "Oldest word on keys under which keyed routes are served.");
DEFINE_uint64(
    limit_homes, 4,
    "Instances that a workspace's rate and burst are split over; the same on all instances.");
DEFINE_uint64(genesis_members, 3, "Members that the first split of all limits waits for.");
DEFINE_double(list_lag, 15000, "Longest lag of the platform's list of instances.");
DEFINE_string(
    routing_policy, "least_cost",
    "Way to choose an engine: random, least_loaded, rendezvous, bounded_rendezvous or least_cost.");
DEFINE_uint64(candidates, 3, "Engines weighed for one prefix.");
DEFINE_double(lookup_timeout, 10, "Longest wait for the instances that watch the candidates.");
DEFINE_double(recompute_weight, 1.0,
              "Weight of recomputed prompt tokens against waiting; higher favours hit rate over "
              "first-token time.");
DEFINE_uint64(anchor_depth, 2, "Prompt pieces in the hashing key before anything is learned.");
DEFINE_uint64(region_link_bytes_per_s, 100000,
              "This instance's share of the link between regions, in bytes a second.");
DEFINE_uint64(engine_in_flight_tokens, 200000,
              "Tokens that this instance has in flight at one engine at most.");
DEFINE_double(upstream_silence, 15000, "Silence of an upstream at which an attempt is given up.");
DEFINE_uint64(header_limit_bytes, 16384, "Largest head of a caller's request.");
DEFINE_uint64(body_limit_bytes, 8388608, "Largest body of a caller's request.");
DEFINE_double(read_timeout, 10000, "Longest arrival of a caller's request.");
DEFINE_uint64(max_output_tokens, 8192, "Largest output that a caller may ask for.");
DEFINE_uint64(session_limit, 2048, "Callers' requests served at once.");
DEFINE_double(
    memory_mb, 260,
    "Memory that this process may use, in MB; its shares for clients are in docs/OPERATIONS.md.");
DEFINE_double(descriptors, 4100,
              "Files and sockets that this process may have open; its shares for clients are in "
              "docs/OPERATIONS.md.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 32> descriptions{{
    {"name", "string", "entry-1", "text that matches ^[a-z0-9-]{1,64}$",
     "Name of this instance, unique in the fleet."},
    {"region", "string", "region-1", "text that matches ^[a-z0-9-]{1,64}$",
     "Region of this instance."},
    {"failure_domain", "string", "domain-1", "text that matches ^[a-z0-9-]{1,64}$",
     "Failure domain of this instance."},
    {"address", "string", "127.0.0.1", "any text",
     "Numeric address that all listeners bind and that peers and callers connect to."},
    {"caller_port", "integer", "8080", "a whole number between 1 and 65535",
     "TCP port for callers."},
    {"peer_port", "integer", "8081", "a whole number between 1 and 65535",
     "TCP port for other entry instances."},
    {"admin_port", "integer", "8082", "a whole number between 1 and 65535",
     "TCP port for the administration API and health checks."},
    {"metrics_port", "integer", "8083", "a whole number between 1 and 65535",
     "TCP port for Prometheus metrics."},
    {"platform", "string", "127.0.0.1:9000", "text that matches ^[0-9a-fA-F.:\\[\\]]+:[0-9]+$",
     "Address and port of the platform's services."},
    {"drain_timeout", "duration_ms", "30000", "a number between 0 and 3600000",
     "Longest wait for running requests after SIGTERM."},
    {"platform_timeout", "duration_ms", "1500", "a number between 10 and 60000",
     "Longest wait for one call to the platform."},
    {"operators", "string", "",
     "text that matches ^([a-zA-Z0-9._-]+=[0-9a-f]{64}(,[a-zA-Z0-9._-]+=[0-9a-f]{64})*)?$",
     "Operators as name=digest pairs separated by commas; a digest is the SHA-256 of the "
     "operator's token in hexadecimal."},
    {"drain_linger", "duration_ms", "3000", "a number between 0 and 600000",
     "Time after SIGTERM in which new connections are still served, so that answers to locate run "
     "out."},
    {"key_freshness", "duration_ms", "10000", "a number between 1000 and 600000",
     "Oldest word on keys under which keyed routes are served."},
    {"limit_homes", "integer", "4", "a whole number between 1 and 32",
     "Instances that a workspace's rate and burst are split over; the same on all instances."},
    {"genesis_members", "integer", "3", "a whole number between 1 and 380",
     "Members that the first split of all limits waits for."},
    {"list_lag", "duration_ms", "15000", "a number between 0 and 600000",
     "Longest lag of the platform's list of instances."},
    {"routing_policy", "string", "least_cost",
     "text that matches ^(random|least_loaded|rendezvous|bounded_rendezvous|least_cost)$",
     "Way to choose an engine: random, least_loaded, rendezvous, bounded_rendezvous or "
     "least_cost."},
    {"candidates", "integer", "3", "a whole number between 1 and 16",
     "Engines weighed for one prefix."},
    {"lookup_timeout", "duration_ms", "10", "a number between 0 and 1000",
     "Longest wait for the instances that watch the candidates."},
    {"recompute_weight", "number", "1.0", "a number between 0.0 and 100.0",
     "Weight of recomputed prompt tokens against waiting; higher favours hit rate over first-token "
     "time."},
    {"anchor_depth", "integer", "2", "a whole number between 1 and 64",
     "Prompt pieces in the hashing key before anything is learned."},
    {"region_link_bytes_per_s", "integer", "100000", "a whole number between 0 and 1000000000",
     "This instance's share of the link between regions, in bytes a second."},
    {"engine_in_flight_tokens", "integer", "200000", "a whole number between 1000 and 100000000",
     "Tokens that this instance has in flight at one engine at most."},
    {"upstream_silence", "duration_ms", "15000", "a number between 100 and 3600000",
     "Silence of an upstream at which an attempt is given up."},
    {"header_limit_bytes", "integer", "16384", "a whole number between 1024 and 1048576",
     "Largest head of a caller's request."},
    {"body_limit_bytes", "integer", "8388608", "a whole number between 1024 and 1073741824",
     "Largest body of a caller's request."},
    {"read_timeout", "duration_ms", "10000", "a number between 100 and 600000",
     "Longest arrival of a caller's request."},
    {"max_output_tokens", "integer", "8192", "a whole number between 1 and 1000000",
     "Largest output that a caller may ask for."},
    {"session_limit", "integer", "2048", "a whole number between 1 and 100000",
     "Callers' requests served at once."},
    {"memory_mb", "number", "260", "a number between 40 and 1000000",
     "Memory that this process may use, in MB; its shares for clients are in docs/OPERATIONS.md."},
    {"descriptors", "number", "4100", "a number between 400 and 10000000",
     "Files and sockets that this process may have open; its shares for clients are in "
     "docs/OPERATIONS.md."},
}};

} // namespace

entry_settings load_entry_settings(int& argc, char**& argv)
{
    const setting_page page{"tarragontrail-entry",
                            "Entry instance: serves callers and its share of the control duties.",
                            ""};
    parse_settings(page, descriptions, argc, argv);

    entry_settings settings;
    check_pattern("name", FLAGS_name, "^[a-z0-9-]{1,64}$");
    settings.m_name = FLAGS_name;
    check_pattern("region", FLAGS_region, "^[a-z0-9-]{1,64}$");
    settings.m_region = FLAGS_region;
    check_pattern("failure_domain", FLAGS_failure_domain, "^[a-z0-9-]{1,64}$");
    settings.m_failure_domain = FLAGS_failure_domain;
    settings.m_address = FLAGS_address;
    check_range("caller_port", static_cast<double>(FLAGS_caller_port), 1, 65535);
    settings.m_caller_port = FLAGS_caller_port;
    check_range("peer_port", static_cast<double>(FLAGS_peer_port), 1, 65535);
    settings.m_peer_port = FLAGS_peer_port;
    check_range("admin_port", static_cast<double>(FLAGS_admin_port), 1, 65535);
    settings.m_admin_port = FLAGS_admin_port;
    check_range("metrics_port", static_cast<double>(FLAGS_metrics_port), 1, 65535);
    settings.m_metrics_port = FLAGS_metrics_port;
    check_pattern("platform", FLAGS_platform, "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$");
    settings.m_platform = FLAGS_platform;
    check_range("drain_timeout", FLAGS_drain_timeout, 0, 3600000);
    settings.m_drain_timeout = rounded_milliseconds(FLAGS_drain_timeout);
    check_range("platform_timeout", FLAGS_platform_timeout, 10, 60000);
    settings.m_platform_timeout = rounded_milliseconds(FLAGS_platform_timeout);
    check_pattern("operators", FLAGS_operators,
                  "^([a-zA-Z0-9._-]+=[0-9a-f]{64}(,[a-zA-Z0-9._-]+=[0-9a-f]{64})*)?$");
    settings.m_operators = FLAGS_operators;
    check_range("drain_linger", FLAGS_drain_linger, 0, 600000);
    settings.m_drain_linger = rounded_milliseconds(FLAGS_drain_linger);
    check_range("key_freshness", FLAGS_key_freshness, 1000, 600000);
    settings.m_key_freshness = rounded_milliseconds(FLAGS_key_freshness);
    check_range("limit_homes", static_cast<double>(FLAGS_limit_homes), 1, 32);
    settings.m_limit_homes = FLAGS_limit_homes;
    check_range("genesis_members", static_cast<double>(FLAGS_genesis_members), 1, 380);
    settings.m_genesis_members = FLAGS_genesis_members;
    check_range("list_lag", FLAGS_list_lag, 0, 600000);
    settings.m_list_lag = rounded_milliseconds(FLAGS_list_lag);
    check_pattern("routing_policy", FLAGS_routing_policy,
                  "^(random|least_loaded|rendezvous|bounded_rendezvous|least_cost)$");
    settings.m_routing_policy = FLAGS_routing_policy;
    check_range("candidates", static_cast<double>(FLAGS_candidates), 1, 16);
    settings.m_candidates = FLAGS_candidates;
    check_range("lookup_timeout", FLAGS_lookup_timeout, 0, 1000);
    settings.m_lookup_timeout = rounded_milliseconds(FLAGS_lookup_timeout);
    check_range("recompute_weight", static_cast<double>(FLAGS_recompute_weight), 0.0, 100.0);
    settings.m_recompute_weight = FLAGS_recompute_weight;
    check_range("anchor_depth", static_cast<double>(FLAGS_anchor_depth), 1, 64);
    settings.m_anchor_depth = FLAGS_anchor_depth;
    check_range("region_link_bytes_per_s", static_cast<double>(FLAGS_region_link_bytes_per_s), 0,
                1000000000);
    settings.m_region_link_bytes_per_s = FLAGS_region_link_bytes_per_s;
    check_range("engine_in_flight_tokens", static_cast<double>(FLAGS_engine_in_flight_tokens), 1000,
                100000000);
    settings.m_engine_in_flight_tokens = FLAGS_engine_in_flight_tokens;
    check_range("upstream_silence", FLAGS_upstream_silence, 100, 3600000);
    settings.m_upstream_silence = rounded_milliseconds(FLAGS_upstream_silence);
    check_range("header_limit_bytes", static_cast<double>(FLAGS_header_limit_bytes), 1024, 1048576);
    settings.m_header_limit_bytes = FLAGS_header_limit_bytes;
    check_range("body_limit_bytes", static_cast<double>(FLAGS_body_limit_bytes), 1024, 1073741824);
    settings.m_body_limit_bytes = FLAGS_body_limit_bytes;
    check_range("read_timeout", FLAGS_read_timeout, 100, 600000);
    settings.m_read_timeout = rounded_milliseconds(FLAGS_read_timeout);
    check_range("max_output_tokens", static_cast<double>(FLAGS_max_output_tokens), 1, 1000000);
    settings.m_max_output_tokens = FLAGS_max_output_tokens;
    check_range("session_limit", static_cast<double>(FLAGS_session_limit), 1, 100000);
    settings.m_session_limit = FLAGS_session_limit;
    check_range("memory_mb", static_cast<double>(FLAGS_memory_mb), 40, 1000000);
    settings.m_memory_mb = FLAGS_memory_mb;
    check_range("descriptors", static_cast<double>(FLAGS_descriptors), 400, 10000000);
    settings.m_descriptors = FLAGS_descriptors;
    return settings;
}

} // namespace tarragontrail::config
