#pragma once

#include "tarragontrail/config/setting_checks.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Operators' command line over the administration API of the entry instances.
struct ctl_settings
{
    std::string m_admins = "127.0.0.1:8082"; ///< Addresses and administration ports of entry
                                             ///< instances, separated by commas; tried in turn.
    std::string m_token = "none"; ///< Operator's token, or none; better given in the environment,
                                  ///< as other users of the machine may see the command line.
    bool m_json = false;          ///< Answers as JSON.
    bool m_dry_run = false;       ///< Prints what a change would send and sends nothing.
    std::chrono::milliseconds m_timeout{20000};     ///< Longest wait for one answer.
    std::chrono::milliseconds m_poll_interval{500}; ///< Time between two looks of bundle watch.
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
ctl_settings load_ctl_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
