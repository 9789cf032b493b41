#pragma once

#include "tarragontrail/config/setting_checks.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Stand-in of a plain service that counts the executions of each call, for tests.
struct service_settings
{
    std::string m_name = "service-1";             ///< Name in answers and log lines.
    std::string m_address = "127.0.0.1";          ///< Numeric address to bind.
    std::uint64_t m_port = 9200;                  ///< TCP port.
    std::chrono::milliseconds m_delay{0};         ///< Length of one execution.
    std::chrono::milliseconds m_network_delay{0}; ///< Delay added to each response.
    double m_crash_after_run =
        0.0; ///< Fraction of executions whose connection is dropped without an answer.
    double m_unframed = 0.0;  ///< Fraction of answers with neither a length nor chunks, which end
                              ///< with their connection.
    double m_refuse = 0.0;    ///< Fraction of calls refused with status 503 and not executed.
    std::uint64_t m_seed = 1; ///< Seed of the random faults.
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
service_settings load_service_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
