#pragma once

#include "tarragontrail/config/bundle.hpp"

namespace tarragontrail::config {

/// Sorts workspaces by name, with their keys grouped in the same order.
void normalize(bundle& target);

/// Throws bundle_error unless names, hashes and digests are unique, every reference exists and
/// paths and addresses are well formed.
void check_bundle(const bundle& checked);

} // namespace tarragontrail::config
