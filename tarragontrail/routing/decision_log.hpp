#pragma once

#include "tarragontrail/routing/actions.hpp"

#include <string>

namespace tarragontrail::routing {

/// Key=value log line of a decision.
std::string log_line(const routed& decision);

/// Key=value log line of a refusal.
std::string log_line(const unroutable& decision);

} // namespace tarragontrail::routing
