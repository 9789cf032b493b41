#pragma once

#include "tarragontrail/config/bundle.hpp"

#include <string>
#include <string_view>

namespace tarragontrail::config {

/// Document that turns `base` into `next`: everything but workspaces, the workspaces that differ
/// and the names of those removed.
std::string make_delta(const bundle& base, const bundle& next);

/// Applies a change document to its base version; throws bundle_error when the document is wrong
/// or was made for another version.
bundle apply_delta(const bundle& base, std::string_view delta);

} // namespace tarragontrail::config
