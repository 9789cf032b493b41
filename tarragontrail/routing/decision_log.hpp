#pragma once

#include "tarragontrail/routing/actions.hpp"

#include <string>

namespace tarragontrail::routing {

/// Log line of a routed request, in key=value format.
std::string log_line(const routed& decision);

/// Log line of an unroutable request, in key=value format.
std::string log_line(const unroutable& decision);

} // namespace tarragontrail::routing
