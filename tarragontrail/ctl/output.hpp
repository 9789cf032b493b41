#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace tarragontrail::ctl {

/// Plain text of a document: one `name: value` a line, and one line for each object of a list.
std::string to_plain(const nlohmann::json& document);

/// `name=value` pairs of an object's simple members on one line.
std::string to_line(const nlohmann::json& object);

/// Line of the fleet's list for one instance's status.
std::string fleet_line(const std::string& admin, const nlohmann::json& status);

} // namespace tarragontrail::ctl
