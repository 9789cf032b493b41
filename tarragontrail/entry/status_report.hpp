#pragma once

#include "tarragontrail/entry/control_plane.hpp"

#include <nlohmann/json_fwd.hpp>

namespace tarragontrail::entry {

/// What operators see of one instance: members, bundle, engines, quarantines, limits.
nlohmann::json status_report(control_plane& plane, std::size_t sessions);

/// What operators see after a command: the draft and the head.
nlohmann::json command_report(const command_outcome& outcome);

} // namespace tarragontrail::entry
