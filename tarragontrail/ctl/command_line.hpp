#pragma once

#include "tarragontrail/config/generated_ctl_settings.hpp"
#include "tarragontrail/ctl/ctl_error.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace tarragontrail::ctl {

/// Words of a command line in which a bare `--json` or `--dry_run` stands for true.
std::vector<std::string> expand_switches(std::span<char* const> words);

/// Runs one command; answers go to `output`, failures to `errors`.
exit_code run_command_line(const config::ctl_settings& settings, std::span<const std::string> words,
                           std::ostream& output, std::ostream& errors);

} // namespace tarragontrail::ctl
