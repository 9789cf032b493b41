#pragma once

#include "tarragontrail/core/error.hpp"

#include <cstdint>

namespace tarragontrail::core {

/// Thrown when an invariant does not hold; `what()` returns the name of the invariant.
class invariant_violation : public error
{
public:
    explicit invariant_violation(const char* name) : error(name) {}
};

/// Numbers of invariant checks since the start of the process.
struct invariant_counts
{
    std::uint64_t m_checked = 0;
    std::uint64_t m_violated = 0; ///< Failed checks.
};

/// Counts one check; throws invariant_violation if `holds` is false.
void check_invariant(bool holds, const char* name);

/// Returns the counts over all threads.
invariant_counts read_invariant_counts() noexcept;

} // namespace tarragontrail::core

/// Checks a named invariant, in release builds too.
#define TARRAGONTRAIL_INVARIANT(condition, name)                                                   \
    ::tarragontrail::core::check_invariant((condition), (name))
