#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace tarragontrail::placement {

/// Settings of duty_lease.
struct duty_lease_settings
{
    std::chrono::milliseconds m_duration{3'000};    ///< Orders of two holders lie so far apart.
    std::chrono::milliseconds m_safety_margin{500}; ///< The holder stops so long before the lapse.
    std::chrono::milliseconds m_retry_delay{400};   ///< Pause after a write without an answer.
    bool m_upstreams_check_fences = true;           ///< Upstreams refuse older fencing numbers.
};

/// Row of the lease; its version in the table is the holder's fencing number.
struct duty_row
{
    core::instance_id m_holder{};  ///< Holding instance.
    core::incarnation m_started{}; ///< Its incarnation.
    std::uint64_t m_sequence = 0;  ///< Grows with each write of that incarnation.

    bool operator==(const duty_row&) const = default;
};

/// Write that a lease asks for; it applies only to the expected version.
struct duty_write
{
    duty_row m_row;                       ///< New row.
    std::uint64_t m_expected_version = 0; ///< Version that the row must have; zero for none.
};

/// What an instance knows of the present holder besides the row.
struct holder_status
{
    bool m_alive = false;   ///< It is heard from and not leaving.
    bool m_stalled = false; ///< It is heard from, but the work does not go on.
};

/// Right to give orders to upstreams, taken only when there is an order to give.
///
/// Where upstreams check fencing numbers a holder keeps the right until a newer one is seen, and no
/// renewal is written. Where they don't, the right ends with the time since the last write was
/// asked for, and a successor waits for twice that time over an unchanged row. Times are of a clock
/// that counts suspension.
class duty_lease
{
public:
    duty_lease(duty_lease_settings settings, core::instance_id self, core::incarnation started);

    /// The row as the table has it; nothing when there is none.
    void on_row(const std::optional<duty_row>& row, std::uint64_t version, core::time_point now);

    /// There are orders to give; asks for a write when the lease can be taken or must be renewed.
    std::optional<duty_write> acquire_or_renew(const holder_status& holder, core::time_point now);

    /// Result of the write.
    void on_written(std::uint64_t version, core::time_point now);

    /// The row had another version.
    void on_write_refused(core::time_point now);

    /// The write got no answer and may still take effect.
    void on_write_lost(core::time_point now);

    /// An upstream has seen a higher fencing number.
    void on_fence_refused(core::time_point now);

    /// An order may be sent now.
    bool is_held(core::time_point now) const;

    /// Fencing number for orders.
    std::uint64_t fence() const noexcept { return m_fence; }

    /// Holder in the row; zero when there is none.
    core::instance_id holder() const noexcept
    {
        return m_row ? m_row->m_holder : core::instance_id{};
    }

private:
    bool is_own(const duty_row& row) const noexcept;
    bool may_acquire(const holder_status& holder, core::time_point now) const;

    duty_lease_settings m_settings;      ///< Settings.
    core::instance_id m_self;            ///< This instance.
    core::incarnation m_started;         ///< Its incarnation.
    std::optional<duty_row> m_row;       ///< Row seen last.
    std::uint64_t m_version = 0;         ///< Its version.
    core::time_point m_row_first_seen{}; ///< When it was first seen at that version.
    std::uint64_t m_sequence = 0;        ///< Writes of this object.
    std::uint64_t m_fence = 0;           ///< Fencing number; zero when the lease is not held.
    std::uint64_t m_refused_fence = 0;   ///< An upstream refused this number as old.
    core::time_point m_requested_at{};   ///< When the last write was asked for.
    core::time_point m_held_since{};     ///< When the write behind the present right was asked for.
    bool m_writing = false;              ///< A write is outstanding.
    core::time_point m_retry_at = core::time_point::min(); ///< No write before this.
};

} // namespace tarragontrail::placement
