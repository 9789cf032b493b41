#pragma once

#include "tarragontrail/core/clock.hpp"

#include <array>
#include <cstdint>

namespace tarragontrail::routing {

/// Request rates of the busiest hashing keys at this instance, in bounded memory.
class prefix_rate_tracker
{
public:
    /// Counts a request of a key and returns the key's rate in requests per second.
    ///
    /// A key that shares its place with a busier one is not counted and has rate zero.
    double on_request(std::uint64_t key, core::time_point now) noexcept;

private:
    /// Decaying count of one key.
    struct counter
    {
        std::uint64_t m_key = 0;         ///< Key; zero for a free place.
        double m_count = 0;              ///< Count, decaying with the time constant.
        core::time_point m_updated_at{}; ///< Last change.
    };

    static constexpr std::size_t slot_count = 1024;
    static constexpr std::chrono::seconds time_constant{10};

    std::array<counter, slot_count> m_counters{}; ///< Counters by key.
};

} // namespace tarragontrail::routing
