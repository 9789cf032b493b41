#pragma once

#include "tarragontrail/core/clock.hpp"

#include <cstdint>

namespace tarragontrail::routing {

/// Token bucket over bytes of this instance's share of the link between regions.
class link_budget
{
public:
    link_budget(std::uint64_t bytes_per_second, std::uint64_t burst_bytes);

    /// Whether `bytes` may cross now.
    bool can_consume(std::uint64_t bytes, core::time_point now) const noexcept;

    /// Takes `bytes`; false and unchanged when they exceed what is left.
    bool try_consume(std::uint64_t bytes, core::time_point now);

private:
    double available(core::time_point now) const noexcept;

    double m_bytes_per_second;       ///< Refill rate.
    double m_burst_bytes;            ///< Most bytes that gather.
    double m_available_bytes;        ///< Bytes left at m_updated_at.
    core::time_point m_updated_at{}; ///< Last change.
};

} // namespace tarragontrail::routing
