#include "tarragontrail/config/generated_relay_settings.hpp"

#include <array>
#include <gflags/gflags.h>

DEFINE_string(name, "relay-1", "Name of this instance, unique in the fleet.");
DEFINE_string(region, "region-1", "Region of this instance.");
DEFINE_string(failure_domain, "domain-1", "Failure domain of this instance.");
DEFINE_string(regions, "{}", "JSON object that names the region of each failure domain.");
DEFINE_string(address, "127.0.0.1", "Numeric address that other instances connect to.");
DEFINE_string(caller_listen, "127.0.0.1:8080", "Address for callers.");
DEFINE_string(ready_listen, "127.0.0.1:8081", "Address for the platform's readiness checks.");
DEFINE_string(directory_listen, "127.0.0.1:8082", "Address for callers that ask where to connect.");
DEFINE_string(internal_ports, "8090,8099",
              "First and last port for traffic among instances; metrics are on the second.");
DEFINE_string(store, "127.0.0.1:9000", "Address of the platform's store.");
DEFINE_bool(fencing, true, "Engines refuse orders with an older fencing number.");
DEFINE_double(lease, 3000, "Orders of two holders of a duty lie at least so far apart.");
DEFINE_double(grace_seconds, 8.0, "Seconds from SIGTERM until the platform kills the process.");
DEFINE_double(drain, 2500, "No request goes to a leaving upstream later than this.");
DEFINE_double(weights_limit, 8000,
              "No request begins on old weights later than this after newer ones were named.");
DEFINE_double(apply_limit, 2500, "A new configuration is in force everywhere within this time.");
DEFINE_double(link_mbps, 1000.0, "Bandwidth of this machine's link, in Mbit/s.");
DEFINE_double(retry_ratio, 0.2, "Requests sent again, as a part of all requests, over the fleet.");
DEFINE_double(retry_slack, 58.0, "Requests sent again beyond that in one window, over the fleet.");
DEFINE_double(retry_window_seconds, 10.0, "Seconds of the retry budget's window.");
DEFINE_double(directory_ttl, 2000, "Time for which callers keep an answer of the directory.");
DEFINE_uint64(connection_limit, 1500, "Callers' connections at most.");
DEFINE_uint64(log_bytes_per_second, 200000,
              "Log bytes written at most; further lines are dropped and counted.");
DEFINE_double(
    memory_mb, 260,
    "Memory that this process may use, in MB; its shares for clients are in docs/OPERATIONS.md.");
DEFINE_double(descriptors, 4100,
              "Files and sockets that this process may have open; its shares for clients are in "
              "docs/OPERATIONS.md.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 25> descriptions{{
    {"name", "string", "relay-1", "text that matches ^[A-Za-z0-9._-]{1,64}$",
     "Name of this instance, unique in the fleet."},
    {"region", "string", "region-1", "text that matches ^[A-Za-z0-9._-]{1,64}$",
     "Region of this instance."},
    {"failure_domain", "string", "domain-1", "text that matches ^[A-Za-z0-9._-]{1,64}$",
     "Failure domain of this instance."},
    {"regions", "string", "{}", "any text",
     "JSON object that names the region of each failure domain."},
    {"address", "string", "127.0.0.1", "text that matches ^[0-9]+(\\.[0-9]+){3}$",
     "Numeric address that other instances connect to."},
    {"caller_listen", "string", "127.0.0.1:8080", "text that matches ^[0-9]+(\\.[0-9]+){3}:[0-9]+$",
     "Address for callers."},
    {"ready_listen", "string", "127.0.0.1:8081", "text that matches ^[0-9]+(\\.[0-9]+){3}:[0-9]+$",
     "Address for the platform's readiness checks."},
    {"directory_listen", "string", "127.0.0.1:8082",
     "text that matches ^[0-9]+(\\.[0-9]+){3}:[0-9]+$",
     "Address for callers that ask where to connect."},
    {"internal_ports", "string", "8090,8099", "text that matches ^[0-9]+,[0-9]+$",
     "First and last port for traffic among instances; metrics are on the second."},
    {"store", "string", "127.0.0.1:9000", "text that matches ^[0-9]+(\\.[0-9]+){3}:[0-9]+$",
     "Address of the platform's store."},
    {"fencing", "boolean", "true", "true or false",
     "Engines refuse orders with an older fencing number."},
    {"lease", "duration_ms", "3000", "a number between 100 and 600000",
     "Orders of two holders of a duty lie at least so far apart."},
    {"grace_seconds", "number", "8.0", "a number between 0.5 and 3600",
     "Seconds from SIGTERM until the platform kills the process."},
    {"drain", "duration_ms", "2500", "a number between 100 and 600000",
     "No request goes to a leaving upstream later than this."},
    {"weights_limit", "duration_ms", "8000", "a number between 500 and 600000",
     "No request begins on old weights later than this after newer ones were named."},
    {"apply_limit", "duration_ms", "2500", "a number between 100 and 600000",
     "A new configuration is in force everywhere within this time."},
    {"link_mbps", "number", "1000.0", "a number between 0.1 and 1000000",
     "Bandwidth of this machine's link, in Mbit/s."},
    {"retry_ratio", "number", "0.2", "a number between 0 and 1",
     "Requests sent again, as a part of all requests, over the fleet."},
    {"retry_slack", "number", "58.0", "a number between 0 and 1000000",
     "Requests sent again beyond that in one window, over the fleet."},
    {"retry_window_seconds", "number", "10.0", "a number between 0.1 and 3600",
     "Seconds of the retry budget's window."},
    {"directory_ttl", "duration_ms", "2000", "a number between 100 and 600000",
     "Time for which callers keep an answer of the directory."},
    {"connection_limit", "integer", "1500", "a whole number between 1 and 1000000",
     "Callers' connections at most."},
    {"log_bytes_per_second", "integer", "200000", "a whole number between 1000 and 1000000000",
     "Log bytes written at most; further lines are dropped and counted."},
    {"memory_mb", "number", "260", "a number between 40 and 1000000",
     "Memory that this process may use, in MB; its shares for clients are in docs/OPERATIONS.md."},
    {"descriptors", "number", "4100", "a number between 400 and 10000000",
     "Files and sockets that this process may have open; its shares for clients are in "
     "docs/OPERATIONS.md."},
}};

} // namespace

relay_settings load_relay_settings(int& argc, char**& argv)
{
    const setting_page page{"tarragontrail-relay",
                            "Entry instance on an operators' platform: relays callers' requests to "
                            "the upstreams that the platform lists.",
                            ""};
    parse_settings(page, descriptions, argc, argv);

    relay_settings settings;
    check_pattern("name", FLAGS_name, "^[A-Za-z0-9._-]{1,64}$");
    settings.m_name = FLAGS_name;
    check_pattern("region", FLAGS_region, "^[A-Za-z0-9._-]{1,64}$");
    settings.m_region = FLAGS_region;
    check_pattern("failure_domain", FLAGS_failure_domain, "^[A-Za-z0-9._-]{1,64}$");
    settings.m_failure_domain = FLAGS_failure_domain;
    settings.m_regions = FLAGS_regions;
    check_pattern("address", FLAGS_address, "^[0-9]+(\\.[0-9]+){3}$");
    settings.m_address = FLAGS_address;
    check_pattern("caller_listen", FLAGS_caller_listen, "^[0-9]+(\\.[0-9]+){3}:[0-9]+$");
    settings.m_caller_listen = FLAGS_caller_listen;
    check_pattern("ready_listen", FLAGS_ready_listen, "^[0-9]+(\\.[0-9]+){3}:[0-9]+$");
    settings.m_ready_listen = FLAGS_ready_listen;
    check_pattern("directory_listen", FLAGS_directory_listen, "^[0-9]+(\\.[0-9]+){3}:[0-9]+$");
    settings.m_directory_listen = FLAGS_directory_listen;
    check_pattern("internal_ports", FLAGS_internal_ports, "^[0-9]+,[0-9]+$");
    settings.m_internal_ports = FLAGS_internal_ports;
    check_pattern("store", FLAGS_store, "^[0-9]+(\\.[0-9]+){3}:[0-9]+$");
    settings.m_store = FLAGS_store;
    settings.m_fencing = FLAGS_fencing;
    check_range("lease", FLAGS_lease, 100, 600000);
    settings.m_lease = rounded_milliseconds(FLAGS_lease);
    check_range("grace_seconds", static_cast<double>(FLAGS_grace_seconds), 0.5, 3600);
    settings.m_grace_seconds = FLAGS_grace_seconds;
    check_range("drain", FLAGS_drain, 100, 600000);
    settings.m_drain = rounded_milliseconds(FLAGS_drain);
    check_range("weights_limit", FLAGS_weights_limit, 500, 600000);
    settings.m_weights_limit = rounded_milliseconds(FLAGS_weights_limit);
    check_range("apply_limit", FLAGS_apply_limit, 100, 600000);
    settings.m_apply_limit = rounded_milliseconds(FLAGS_apply_limit);
    check_range("link_mbps", static_cast<double>(FLAGS_link_mbps), 0.1, 1000000);
    settings.m_link_mbps = FLAGS_link_mbps;
    check_range("retry_ratio", static_cast<double>(FLAGS_retry_ratio), 0, 1);
    settings.m_retry_ratio = FLAGS_retry_ratio;
    check_range("retry_slack", static_cast<double>(FLAGS_retry_slack), 0, 1000000);
    settings.m_retry_slack = FLAGS_retry_slack;
    check_range("retry_window_seconds", static_cast<double>(FLAGS_retry_window_seconds), 0.1, 3600);
    settings.m_retry_window_seconds = FLAGS_retry_window_seconds;
    check_range("directory_ttl", FLAGS_directory_ttl, 100, 600000);
    settings.m_directory_ttl = rounded_milliseconds(FLAGS_directory_ttl);
    check_range("connection_limit", static_cast<double>(FLAGS_connection_limit), 1, 1000000);
    settings.m_connection_limit = FLAGS_connection_limit;
    check_range("log_bytes_per_second", static_cast<double>(FLAGS_log_bytes_per_second), 1000,
                1000000000);
    settings.m_log_bytes_per_second = FLAGS_log_bytes_per_second;
    check_range("memory_mb", static_cast<double>(FLAGS_memory_mb), 40, 1000000);
    settings.m_memory_mb = FLAGS_memory_mb;
    check_range("descriptors", static_cast<double>(FLAGS_descriptors), 400, 10000000);
    settings.m_descriptors = FLAGS_descriptors;
    return settings;
}

} // namespace tarragontrail::config
