#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/core/store_version.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tarragontrail::placement {

/// Timing of duty_lease.
struct duty_lease_settings
{
    /// Minimum time between the orders of two holders.
    std::chrono::milliseconds m_duration{3'000};
    /// The holder stops this long before its lease expires.
    std::chrono::milliseconds m_safety_margin{500};
    /// Delay after a write that failed or was not answered.
    std::chrono::milliseconds m_retry_delay{400};
    /// A holder that is leaving finishes what it has begun for this long, then gives the lease
    /// back.
    std::chrono::milliseconds m_leaving_limit{2'500};
    /// Same while every instance is leaving.
    std::chrono::milliseconds m_last_leaving_limit{5'000};
    bool m_upstreams_check_fences = true; ///< Whether upstreams refuse older fencing numbers.
};

/// Row of the lease; its version in the table gives the fencing number of the holder.
struct duty_row
{
    core::instance_id m_holder{};  ///< Instance that holds the lease.
    core::incarnation m_started{}; ///< Incarnation of that instance.
    std::uint64_t m_sequence = 0;  ///< Grows with each write of that incarnation.

    bool operator==(const duty_row&) const = default;
};

/// Order that a holder sent to an engine.
struct sent_order
{
    core::upstream_id m_engine{};      ///< Engine.
    std::chrono::milliseconds m_age{}; ///< Time since it was sent.

    bool operator==(const sent_order&) const = default;
};

/// Row of a lease that its holder has given back: the next one need not wait.
struct duty_release
{
    duty_row m_row;                   ///< Last holder.
    std::vector<sent_order> m_orders; ///< Orders to engines within the duration of a lease.

    bool operator==(const duty_release&) const = default;
};

/// Row of a lease while it is held, with what later holders must know.
struct duty_holding
{
    duty_row m_row;
    /// Time of the table store's clock when the row was written; zero when it was not known.
    std::chrono::milliseconds m_written{};
    std::vector<sent_order> m_orders; ///< Orders within the duration of a lease before.

    bool operator==(const duty_holding&) const = default;
};

/// Conditional write that gives a lease back; it applies only to the expected version.
struct duty_release_write
{
    duty_release m_release;
    core::store_version m_expected_version;
};

/// Conditional write that a lease requests; it applies only to the expected version.
struct duty_write
{
    duty_row m_row;
    /// Orders to engines within the duration of a lease, those of earlier holders included.
    std::vector<sent_order> m_orders;
    /// Version that the row must have; zero when it must not exist.
    core::store_version m_expected_version;
};

/// What an instance knows of the current holder beside the row.
struct holder_status
{
    /// Messages of the holder's start arrive, or it may still answer a question; it may be leaving.
    bool m_alive = false;
    bool m_stalled = false; ///< The work of the holder makes no progress.
};

/// Lease on the right to give orders to upstreams, acquired only when there is an order to give.
///
/// If upstreams check fencing numbers, a holder keeps the lease until a newer fencing number is
/// seen, and no renewals are written. If they do not, the lease expires m_duration after its last
/// write was requested, and a successor waits for twice that time over an unchanged row. Times must
/// come from a clock that also advances while the machine is suspended.
///
/// A row of a holder that has not given the lease back is not replaced before m_duration has passed
/// over it. Two instances that do not hear each other therefore never hold the lease in turn within
/// that time.
///
/// Load pattern: instances are stopped in turn while weights are named. A holder that leaves goes
/// on with its orders for m_leaving_limit at most and then gives the lease back; the next holder
/// takes it at once, but sends no order to an engine within m_duration of another holder's last
/// one. A holder that the table store turns away tells the others itself that it has stopped.
///
/// A return of the table store from an older copy ends the lease. The last holder may take it again
/// at once; others wait for m_duration first, as its row may be lost while it still gives orders.
class duty_lease
{
public:
    duty_lease(duty_lease_settings settings, core::instance_id self, core::incarnation started);

    /// Sets the row as read from the table; none, with number zero, when it does not exist.
    void on_row(const std::optional<duty_row>& row, const core::store_version& version,
                core::time_point now);

    /// Sets the row as read from the table: it is held. `age` is the time since it was written, as
    /// far as that is known.
    void on_holding(const duty_holding& holding, const core::store_version& version,
                    core::duration age, core::time_point now);

    /// Sets the row as read from the table: the holder has given the lease back.
    void on_release(const duty_release& release, const core::store_version& version,
                    core::time_point now);

    /// The table store has come back from an older copy: the row is not known until it is read.
    void begin_era(std::uint64_t era, core::time_point now);

    /// Called while there are orders to give. Returns the write to make when the lease can be
    /// acquired or must be renewed.
    std::optional<duty_write> acquire_or_renew(const holder_status& holder, core::time_point now);

    /// The instance is leaving.
    void begin_leaving(core::time_point now);

    /// Called while the instance is leaving. Returns the write that gives the lease back once there
    /// are no orders left to give, or the time to finish them is over. `has_successor` tells
    /// whether another instance can take it.
    std::optional<duty_release_write> give_back(bool has_orders, bool has_successor,
                                                core::time_point now);

    /// The lease is given back, or the row is another's.
    void on_given_back();

    /// Called while there are orders to give, or the instance is leaving. Returns what the other
    /// instances should be told when the table store does not take the renewal of a lease that has
    /// run out, or its release: this instance gives no more orders under it.
    std::optional<duty_release> yield(core::time_point now);

    /// The holder tells that it gives no more orders under its row.
    void on_yield(const duty_release& release, core::time_point now);

    /// An order is sent to an engine.
    void on_order_sent(core::upstream_id engine, core::time_point now);

    /// Whether an order may be sent to an engine now: the lease is held, and no other holder has
    /// sent it one within the duration of a lease.
    bool may_order(core::upstream_id engine, core::time_point now) const;

    /// The write took effect.
    void on_written(const core::store_version& version, core::time_point now);

    /// The write did not apply: the row had another version.
    void on_write_refused(core::time_point now);

    /// The write was not answered and may still take effect.
    void on_write_lost(core::time_point now);

    /// An upstream refused the fencing number: it has seen a higher one.
    void on_fence_refused(core::time_point now);

    /// Whether an order may be sent now.
    bool is_held(core::time_point now) const;

    /// Fencing number of the lease; zero when it is not held.
    std::uint64_t fence() const noexcept { return m_fence; }

    /// Holder according to the last row, also after it has given the lease back; nothing when there
    /// is none.
    const std::optional<duty_row>& row() const noexcept { return m_row; }

    /// The last holder has given the lease back.
    bool is_released() const noexcept { return m_released; }

private:
    /// Last order to an engine that is known.
    struct last_order
    {
        core::time_point m_sent{};
        bool m_own = false; ///< Sent by this instance.
    };

    bool is_own(const duty_row& row) const noexcept;
    void note_orders(const std::vector<sent_order>& orders, core::time_point now);
    std::vector<sent_order> recent_orders(core::time_point now);
    bool has_own_row() const noexcept { return m_row && is_own(*m_row) && !m_released; }
    bool may_acquire(const holder_status& holder, core::time_point now) const;
    void forget_old_orders(core::time_point now);

    duty_lease_settings m_settings;
    core::instance_id m_self;
    core::incarnation m_started;
    std::optional<duty_row> m_row; ///< Last row read.
    core::store_version m_version; ///< Version of m_row.
    bool m_is_row_known = true;    ///< The row was read in the present era.
    bool m_released = false;       ///< The holder in m_row has given the lease back.
    bool m_was_holder = false;     ///< The lease was held when the last era ended.
    /// Others than the last holder wait until then.
    core::time_point m_era_settled = core::time_point::min();
    std::uint64_t m_requested_era = 0;   ///< Era of the version that the last write expects.
    core::time_point m_row_first_seen{}; ///< When m_row was first seen at m_version.
    std::uint64_t m_sequence = 0;        ///< Number of writes requested by this object.
    std::uint64_t m_fence = 0;           ///< Zero when the lease is not held.
    std::uint64_t m_refused_fence = 0;   ///< Last fencing number that an upstream refused.
    core::time_point m_requested_at{};   ///< When the last write was requested.
    core::time_point m_held_since{}; ///< When the write that gave the current lease was requested.
    bool m_writing = false;          ///< Whether a write is outstanding.
    /// No write is requested before this time.
    core::time_point m_retry_at = core::time_point::min();
    std::optional<core::time_point> m_leaving_since; ///< Set once the instance is leaving.
    bool m_renewal_failed = false;                   ///< The last renewal of the row was not taken.
    core::store_version m_yielded;                   ///< Version of the row that was yielded last.
    bool m_gives_back = false; ///< No order is sent any more, and the row is being given back.
    std::map<core::upstream_id, last_order> m_orders; ///< Within the duration of a lease.
};

} // namespace tarragontrail::placement
