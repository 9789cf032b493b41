#pragma once

#include "tarragontrail/config/bundle.hpp"

namespace tarragontrail::config {

/// Sorts workspaces by name and groups the keys in the same order.
void normalize(bundle& target);

/// Throws bundle_error unless names, their hashes and key digests are unique, all referenced names
/// exist, and paths and addresses are well formed.
void check_bundle(const bundle& checked);

} // namespace tarragontrail::config
