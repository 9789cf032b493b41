#pragma once

#include "tarragontrail/config/generated_load_settings.hpp"
#include "tarragontrail/load/token_allowance.hpp"
#include "tarragontrail/net/http_types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::load {

/// Value of a setting that is switched off.
constexpr const char* none = "none";

/// Workspace with its key and its account.
struct load_workspace
{
    std::string m_name;                         ///< Name.
    std::string m_key;                          ///< Key.
    std::optional<token_allowance> m_allowance; ///< Rate and burst; none for no bound.
};

/// Parts of a text between separators; empty parts are left out.
std::vector<std::string> split(const std::string& text, char separator);

/// Endpoints of a list setting, none for "none"; throws setting_error.
std::vector<net::tcp::endpoint> parse_endpoints(const std::string& setting,
                                                const std::string& text);

/// Workspaces of the settings `keys` and `limits`; throws setting_error.
std::vector<load_workspace> read_workspaces(const config::load_settings& settings);

} // namespace tarragontrail::load
