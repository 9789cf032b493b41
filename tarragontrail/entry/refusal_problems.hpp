#pragma once

#include "tarragontrail/config/key_table.hpp"
#include "tarragontrail/entry/problem.hpp"
#include "tarragontrail/idempotency/call_types.hpp"
#include "tarragontrail/limits/actions.hpp"

namespace tarragontrail::entry {

/// What a caller is told of a key that was not accepted.
problem key_problem(config::key_verdict verdict);

/// What a caller is told of a refusal by limits.
problem limit_problem(const limits::refused& decision);

/// What a caller is told of a refused call to a plain service.
problem call_problem(const idempotency::refuse& action);

} // namespace tarragontrail::entry
