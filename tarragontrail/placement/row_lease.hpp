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

/// Settings of row_lease.
struct row_lease_settings
{
    std::chrono::milliseconds m_duration{10000};     ///< Length, from the asking.
    std::chrono::milliseconds m_safety_margin{2000}; ///< The holder stops so long before the lapse.
    std::chrono::milliseconds m_max_order_duration{
        2000};                                      ///< Work sent at the last moment ends within.
    std::chrono::milliseconds m_poll_interval{500}; ///< Pause between reads of another's row.
    std::chrono::milliseconds m_retry_delay{200};   ///< Pause after a failed table operation.
};

/// Table operation that a lease asks for; its owner numbers it.
using lease_operation = std::variant<idempotency::table_read, idempotency::table_write>;

/// Lease on one table row, measured by monotonic clocks only.
///
/// The holder counts from its own asking, a successor from its own first sight of a row that then
/// stays unchanged, so no two clocks are compared.
class row_lease
{
public:
    row_lease(row_lease_settings settings, std::string table, std::string key,
              core::instance_id self, core::incarnation started, std::uint64_t nonce);

    /// Starts to acquire, and keeps renewing once held.
    void acquire(core::time_point now);

    /// Gives up: frees the row when it is held; nothing sent under it may still be under way.
    void release(core::time_point now);

    /// The upstream has seen a higher fencing number: nothing is sent until the row was read again.
    void revoke(core::time_point now);

    /// Results of the operation asked for last.
    void on_read(const idempotency::read_result& result, core::time_point now);
    void on_written(const idempotency::write_result& result, core::time_point now);
    void on_failed(core::time_point now);

    /// Handles what is due.
    void on_timer(core::time_point now);

    /// When on_timer is wanted next.
    std::optional<core::time_point> next_deadline() const;

    /// Operation to carry out; at most one is outstanding.
    std::optional<lease_operation> take_operation();

    /// The lease is held and work may be sent now.
    bool is_held(core::time_point now) const;

    /// Work may be sent under the lease until this time.
    core::time_point latest_send() const noexcept { return m_latest_send; }

    /// Fencing number of the present holding.
    std::uint64_t fence() const noexcept { return m_fence; }

    /// Another holder's row is being waited for.
    bool is_blocked() const noexcept { return m_watching_other; }

    /// Nothing is outstanding and nothing is wanted.
    bool idle() const noexcept;

private:
    /// Step of the lease.
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

    row_lease_settings m_settings; ///< Settings.
    std::string m_table;           ///< Table's name.
    std::string m_key;             ///< Row's key.
    core::instance_id m_self;      ///< This instance.
    core::incarnation m_started;   ///< Its incarnation.
    std::uint64_t m_nonce;         ///< Random number of this object.
    step m_step = step::waiting;   ///< Step.
    bool m_wanted = false;         ///< The owner wants the lease.
    bool m_owned = false;          ///< The last row seen is this object's, and not free.
    core::time_point m_due = core::time_point::max(); ///< When the next step follows.
    idempotency::row_version m_version = 0;           ///< Version of the last row seen.
    lease_row m_last_row;                             ///< Last row seen.
    lease_row m_pending_row;                          ///< Row that is being written.
    core::time_point m_requested_at{};                ///< When that write was first asked for.
    core::time_point m_latest_send = core::time_point::min(); ///< End of the right to send.
    std::uint64_t m_fence = 0;                  ///< Fencing number of the present holding.
    bool m_needs_new_fence = false;             ///< The next write takes a new fencing number.
    std::uint64_t m_sequence = 0;               ///< Writes of this object.
    bool m_watching_other = false;              ///< Another holder's row is being watched.
    core::time_point m_other_row_since{};       ///< First sight of that row at that version.
    std::optional<lease_operation> m_operation; ///< Operation not yet taken.
};

} // namespace tarragontrail::placement
