#pragma once

#include "tarragontrail/config/bundle.hpp"

#include <string>
#include <string_view>

namespace tarragontrail::config {

/// Makes a delta document that turns `base` into `next`: the changed workspaces, the names of the
/// removed workspaces, and all other members in full.
std::string make_delta(const bundle& base, const bundle& next);

/// Applies a delta document to its base. Throws bundle_error if the document is invalid or was made
/// for another version.
bundle apply_delta(const bundle& base, std::string_view delta);

} // namespace tarragontrail::config
