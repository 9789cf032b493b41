#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/idempotency/table_operations.hpp"
#include "tarragontrail/placement/lease_row.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace tarragontrail::placement {

/// Timing of row_lease.
struct row_lease_settings
{
    /// Duration of the lease, from the request of its write.
    std::chrono::milliseconds m_duration{10000};
    /// The holder stops this long before the lease expires.
    std::chrono::milliseconds m_safety_margin{2000};
    /// Upper bound on the duration of work sent under the lease.
    std::chrono::milliseconds m_max_order_duration{2000};
    std::chrono::milliseconds m_poll_interval{500}; ///< Interval of reads of another holder's row.
    std::chrono::milliseconds m_retry_delay{200};   ///< Delay after a failed table operation.
};

/// Table operation that a lease requests; the owner of the lease sets its number.
using lease_operation = std::variant<idempotency::table_read, idempotency::table_write>;

/// Lease on one table row, measured by monotonic clocks only.
///
/// The holder measures the lease from the request of its own write. A successor measures from the
/// time at which it first read a row that then stayed unchanged. No two clocks are compared.
class row_lease
{
public:
    row_lease(row_lease_settings settings, std::string table, std::string key,
              core::instance_id self, core::incarnation started, std::uint64_t nonce);

    /// Begins to acquire the lease and renews it once held.
    void acquire(core::time_point now);

    /// Stops acquiring or releases the lease; nothing sent under it may still be in progress.
    void release(core::time_point now);

    /// The upstream has seen a higher fencing number: nothing may be sent until the row was read
    /// again.
    void revoke(core::time_point now);

    /// Results of the last operation requested.
    void on_read(const idempotency::read_result& result, core::time_point now);
    void on_written(const idempotency::write_result& result, core::time_point now);
    void on_failed(core::time_point now);

    /// Starts the next read or write when it is due.
    void on_timer(core::time_point now);

    /// Time at which on_timer() must be called next.
    std::optional<core::time_point> next_deadline() const;

    /// Operation to carry out, if any; at most one is outstanding.
    std::optional<lease_operation> take_operation();

    /// Whether the lease is held and work may be sent now.
    bool is_held(core::time_point now) const;

    /// Latest time at which work may be sent under the lease.
    core::time_point latest_send() const noexcept { return m_latest_send; }

    /// Fencing number of the current lease.
    std::uint64_t fence() const noexcept { return m_fence; }

    /// Whether the lease waits for another holder.
    bool is_blocked() const noexcept { return m_watching_other; }

    /// Whether nothing is outstanding and the lease is neither held nor requested.
    bool idle() const noexcept;

private:
    /// State of the lease.
    enum class step
    {
        waiting,    ///< Nothing to do until m_due.
        reading,    ///< A read is outstanding.
        writing,    ///< A write is outstanding.
        reread_due, ///< The row must be read again at m_due.
    };

    void start_read();
    void start_write(bool free, core::time_point now);
    void start_next_step(core::time_point now);
    void evaluate_row(const idempotency::read_result& result, core::time_point now);
    void evaluate_own_row(const lease_row& row, idempotency::row_version version);
    void evaluate_other_row(const lease_row& row, idempotency::row_version version,
                            core::time_point now);
    void wait_until(core::time_point due);
    std::chrono::milliseconds successor_wait() const;

    row_lease_settings m_settings;
    std::string m_table;
    std::string m_key;
    core::instance_id m_self;
    core::incarnation m_started; ///< Incarnation of this instance.
    std::uint64_t m_nonce;       ///< Identifies this object in the row.
    step m_step = step::waiting;
    bool m_wanted = false; ///< Whether the lease was requested and not released.
    bool m_owned = false;  ///< Whether the last row read is this object's and not released.
    core::time_point m_due = core::time_point::max(); ///< When the next step is due.
    idempotency::row_version m_version = 0;           ///< Version of m_last_row.
    lease_row m_last_row;                             ///< Last row read.
    lease_row m_pending_row;                          ///< Row that is being written.
    core::time_point m_requested_at{}; ///< When the write of m_pending_row was requested.
    /// Latest time at which work may be sent.
    core::time_point m_latest_send = core::time_point::min();
    std::uint64_t m_fence = 0;            ///< Fencing number of the current lease.
    bool m_needs_new_fence = false;       ///< Whether the next write takes a new fencing number.
    std::uint64_t m_sequence = 0;         ///< Number of writes requested by this object.
    bool m_watching_other = false;        ///< Whether the lease waits for another holder.
    core::time_point m_other_row_since{}; ///< When m_last_row was first seen at m_version, if it is
                                          ///< another holder's.
    std::optional<lease_operation> m_operation; ///< Operation not yet returned by take_operation().
};

} // namespace tarragontrail::placement
