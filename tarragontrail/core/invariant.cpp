#include "tarragontrail/core/invariant.hpp"

#include <atomic>

namespace tarragontrail::core {
namespace {

std::atomic<std::uint64_t> checked{0};
std::atomic<std::uint64_t> violated{0};

} // namespace

void check_invariant(bool holds, const char* name)
{
    checked.fetch_add(1, std::memory_order_relaxed);
    if (holds)
    {
        return;
    }
    violated.fetch_add(1, std::memory_order_relaxed);
    throw invariant_violation(name);
}

invariant_counts read_invariant_counts() noexcept
{
    return {checked.load(std::memory_order_relaxed), violated.load(std::memory_order_relaxed)};
}

} // namespace tarragontrail::core
