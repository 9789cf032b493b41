// Replaces the global allocation functions of the performance test by counting ones.
#include "performance_test/routing_allocation_count.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0}; // Calls of operator new since the start.

} // namespace

std::uint64_t count_allocations() noexcept
{
    return allocations.load(std::memory_order_relaxed);
}

void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    void* const memory = std::malloc(size);
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}
