#pragma once

#include "tarragontrail/relay/table_mirror.hpp"

#include <functional>

namespace tarragontrail::relay {

/// Passes a row that this instance has written on to the other instances.
using row_publisher = std::function<void(const table_row&)>;

} // namespace tarragontrail::relay
