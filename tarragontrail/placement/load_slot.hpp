#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/placement/row_lease.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace tarragontrail::placement {

/// Number of weight loads that may run at once in the fleet.
inline constexpr std::size_t max_weight_loads = 2;

/// Lease on any one of the fleet's load slots, which limit concurrent weight loads.
///
/// Each slot is a leased row; all are requested and the first that is acquired is kept.
class load_slot
{
public:
    load_slot(row_lease_settings settings, const std::string& table, core::instance_id self,
              core::incarnation started, std::uint64_t nonce);

    /// Begins to acquire a slot.
    void acquire(core::time_point now);

    /// Releases the slot; the load under it must have ended.
    void release(core::time_point now);

    /// Results of a table operation; `slot` is the index of the lease that requested it.
    void on_read(std::size_t slot, const idempotency::read_result& result, core::time_point now);
    void on_written(std::size_t slot, const idempotency::write_result& result,
                    core::time_point now);
    void on_failed(std::size_t slot, core::time_point now);

    /// Advances the leases of all slots.
    void on_timer(core::time_point now);

    /// Time at which on_timer() must be called next.
    std::optional<core::time_point> next_deadline() const;

    /// Table operation that the lease of a slot requests, if any.
    std::optional<lease_operation> take_operation(std::size_t slot);

    /// Whether a slot is held and a load may be sent now.
    bool is_held(core::time_point now) const;

    /// Latest time at which a load may be sent.
    core::time_point latest_send() const;

private:
    void choose_slot(core::time_point now);

    std::array<row_lease, max_weight_loads> m_slots; ///< One lease for each slot.
    bool m_wanted = false;                  ///< Whether a slot was requested and not released.
    std::optional<std::size_t> m_held_slot; ///< Index of the slot that is held.
};

} // namespace tarragontrail::placement
