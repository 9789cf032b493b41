#pragma once

namespace tarragontrail::limits {

/// Compares the ways of keeping a fleet-wide limit and prints one line for each.
///
/// Deterministic: virtual time and fixed seeds.
void print_limits_comparison();

} // namespace tarragontrail::limits
