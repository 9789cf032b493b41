#pragma once

#include "tarragontrail/core/clock.hpp"

#include <array>
#include <cstdint>

namespace tarragontrail::routing {

/// Tracks the request rates of the most frequent rendezvous keys at this instance, in bounded
/// memory.
class prefix_rate_tracker
{
public:
    /// Counts a request and returns the rate of its key in requests per second.
    ///
    /// A key that shares its slot with a more frequent one is not counted; its rate is zero.
    double on_request(std::uint64_t key, core::time_point now) noexcept;

private:
    struct counter
    {
        std::uint64_t m_key = 0;         ///< Rendezvous key; zero marks a free slot.
        double m_count = 0;              ///< Exponentially decaying count of requests.
        core::time_point m_updated_at{}; ///< Time that m_count holds for.
    };

    static constexpr std::size_t slot_count = 1024;
    static constexpr std::chrono::seconds time_constant{10};

    std::array<counter, slot_count> m_counters{}; ///< Slots; the key selects one.
};

} // namespace tarragontrail::routing
