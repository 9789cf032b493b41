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

/// Weight loads that may run at once over the fleet.
inline constexpr std::size_t max_weight_loads = 2;

/// One of the fleet's load slots, each a leased row; whichever falls free first is taken.
class load_slot
{
public:
    load_slot(row_lease_settings settings, const std::string& table, core::instance_id self,
              core::incarnation started, std::uint64_t nonce);

    /// Starts to acquire a slot.
    void acquire(core::time_point now);

    /// Frees the slot; the load under it must have ended.
    void release(core::time_point now);

    /// Results of an operation; `slot` names the lease that asked.
    void on_read(std::size_t slot, const idempotency::read_result& result, core::time_point now);
    void on_written(std::size_t slot, const idempotency::write_result& result,
                    core::time_point now);
    void on_failed(std::size_t slot, core::time_point now);

    /// Handles what is due.
    void on_timer(core::time_point now);

    /// When on_timer is wanted next.
    std::optional<core::time_point> next_deadline() const;

    /// Operation of a lease to carry out.
    std::optional<lease_operation> take_operation(std::size_t slot);

    /// A slot is held and a load may be sent now.
    bool is_held(core::time_point now) const;

    /// A load may be sent until this time.
    core::time_point latest_send() const;

private:
    void choose_slot(core::time_point now);

    std::array<row_lease, max_weight_loads> m_slots; ///< Leases of the slots.
    bool m_wanted = false;                           ///< A slot is wanted.
    std::optional<std::size_t> m_held_slot;          ///< Slot that was acquired.
};

} // namespace tarragontrail::placement
