#pragma once

#include "tarragontrail/config/setting_checks.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Stand-in of the platform: table, objects, instance list and weights in memory, for tests.
struct platform_settings
{
    std::string m_name = "platform";                   ///< Name in log lines.
    std::string m_address = "127.0.0.1";               ///< Numeric address to bind.
    std::uint64_t m_port = 9000;                       ///< TCP port.
    std::chrono::milliseconds m_list_lag{0};           ///< Age of the instance list that is shown.
    std::chrono::milliseconds m_weight_load_time{300}; ///< Length of one weight load at full rate.
    std::uint64_t m_seed = 1;                          ///< Seed of the random faults.
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
platform_settings load_platform_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
