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
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
entry_settings load_entry_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
