#pragma once

#include "tarragontrail/core/error.hpp"

#include <cstdint>

namespace tarragontrail::core {

/// A property that must always hold was found broken; `what()` names it.
class invariant_violation : public error
{
public:
    explicit invariant_violation(const char* name) : error(name) {}
};

/// Counts of invariant checks since the start of the process.
struct invariant_counts
{
    std::uint64_t m_checked = 0;  ///< Checks made.
    std::uint64_t m_violated = 0; ///< Checks that failed.
};

/// Records one check; throws invariant_violation when `holds` is false.
void check_invariant(bool holds, const char* name);

/// Counts over all threads.
invariant_counts read_invariant_counts() noexcept;

} // namespace tarragontrail::core

/// Asserts a named property in release builds too.
#define TARRAGONTRAIL_INVARIANT(condition, name)                                                   \
    ::tarragontrail::core::check_invariant((condition), (name))
