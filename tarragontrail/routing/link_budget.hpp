#pragma once

#include "tarragontrail/core/clock.hpp"

#include <cstdint>

namespace tarragontrail::routing {

/// Token bucket for the bytes that this instance may send over the link between regions.
class link_budget
{
public:
    link_budget(std::uint64_t bytes_per_second, std::uint64_t burst_bytes);

    /// Whether `bytes` are available.
    bool can_consume(std::uint64_t bytes, core::time_point now) const noexcept;

    /// Consumes `bytes`, or returns false and changes nothing if fewer are available.
    bool try_consume(std::uint64_t bytes, core::time_point now);

private:
    double available(core::time_point now) const noexcept;

    double m_bytes_per_second; ///< Refill rate.
    double m_burst_bytes;      ///< Capacity of the bucket.
    double m_available_bytes;  ///< Bytes available at m_updated_at.
    core::time_point m_updated_at{};
};

} // namespace tarragontrail::routing
