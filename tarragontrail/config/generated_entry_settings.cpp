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
DEFINE_uint64(drain_timeout, 30000, "Longest wait for running requests after SIGTERM.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 10> descriptions{{
    {"name", "string", "entry-1", "Name of this instance, unique in the fleet."},
    {"region", "string", "region-1", "Region of this instance."},
    {"failure_domain", "string", "domain-1", "Failure domain of this instance."},
    {"address", "string", "127.0.0.1",
     "Numeric address that all listeners bind and that peers and callers connect to."},
    {"caller_port", "integer", "8080", "TCP port for callers."},
    {"peer_port", "integer", "8081", "TCP port for other entry instances."},
    {"admin_port", "integer", "8082", "TCP port for the administration API and health checks."},
    {"metrics_port", "integer", "8083", "TCP port for Prometheus metrics."},
    {"platform", "string", "127.0.0.1:9000", "Address and port of the platform's services."},
    {"drain_timeout", "duration_ms", "30000", "Longest wait for running requests after SIGTERM."},
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
    check_range("drain_timeout", static_cast<double>(FLAGS_drain_timeout), 0, 3600000);
    settings.m_drain_timeout = std::chrono::milliseconds(FLAGS_drain_timeout);
    return settings;
}

} // namespace tarragontrail::config
