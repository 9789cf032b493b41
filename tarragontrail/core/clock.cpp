#include "tarragontrail/core/clock.hpp"

#include <ctime>

#include <atomic>

namespace tarragontrail::core {
namespace {

constexpr std::int64_t not_paused = -1;
std::atomic<std::int64_t> paused_reading{not_paused}; // nanoseconds, or not_paused

std::int64_t system_reading() noexcept
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(since_boot).count();
}

} // namespace

time_point runtime_clock::now() noexcept
{
    const std::int64_t paused = paused_reading.load(std::memory_order_acquire);
    if (paused != not_paused)
    {
        return time_point(duration(paused));
    }
    return time_point(duration(system_reading()));
}

void runtime_clock::pause() noexcept
{
    std::int64_t expected = not_paused;
    paused_reading.compare_exchange_strong(expected, system_reading());
}

void runtime_clock::advance(duration step) noexcept
{
    std::int64_t reading = paused_reading.load();
    while (reading != not_paused &&
           !paused_reading.compare_exchange_weak(reading, reading + step.count()))
    {}
}

bool runtime_clock::is_paused() noexcept
{
    return paused_reading.load(std::memory_order_acquire) != not_paused;
}

void runtime_clock::resume() noexcept
{
    paused_reading.store(not_paused);
}

time_point suspension_counting_now() noexcept
{
    if (runtime_clock::is_paused())
    {
        return runtime_clock::now();
    }
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace tarragontrail::core
