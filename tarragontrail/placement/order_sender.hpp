#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/placement/load_slot.hpp"
#include "tarragontrail/placement/order_types.hpp"
#include "tarragontrail/placement/row_lease.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragontrail::placement {

/// Lease table and timing of order_sender.
struct order_sender_settings
{
    std::string m_table = "orders";              ///< Table that holds the lease rows.
    std::chrono::milliseconds m_duration{10000}; ///< Duration of a lease.
    /// The holder stops this long before its lease expires; unused for engines that check fencing
    /// numbers.
    std::chrono::milliseconds m_safety_margin{2000};
    /// An order takes effect within this time after it was sent, or never.
    std::chrono::milliseconds m_max_order_duration{2000};
    std::chrono::milliseconds m_poll_interval{500}; ///< Interval of reads of another holder's row.
    std::chrono::milliseconds m_retry_delay{200};   ///< Delay after a failed operation.
};

/// Sends orders to one engine, one at a time, under a lease with a fencing number.
///
/// The engine's state is read before each order. Performs no I/O: the I/O layer carries out
/// take_actions() and reports the results.
class order_sender
{
public:
    /// `checks_fence` says whether the engine refuses old fencing numbers.
    order_sender(order_sender_settings settings, core::upstream_id upstream, bool checks_fence,
                 core::instance_id self, core::incarnation started, std::uint64_t seed);

    /// Queues an order; an order_ended action follows unless it is cancelled.
    void submit(const engine_order& order, core::time_point now);

    /// Drops all orders that were not sent yet.
    void cancel(core::time_point now);

    /// Results of table operations.
    void on_table_read(std::uint64_t operation, const idempotency::read_result& result,
                       core::time_point now);
    void on_table_written(std::uint64_t operation, const idempotency::write_result& result,
                          core::time_point now);
    void on_table_failed(std::uint64_t operation, core::time_point now);

    /// The engine answered an order.
    void on_order_answered(std::uint64_t number, bool accepted, core::time_point now);

    /// The engine refused an order's fencing number as old.
    void on_fence_refused(std::uint64_t number, core::time_point now);

    /// The I/O layer did not send the order, as its latest send time had passed.
    void on_order_not_sent(std::uint64_t number, core::time_point now);

    /// The order was sent and not answered.
    void on_order_lost(std::uint64_t number, core::time_point now);

    /// Results of reading the engine's state.
    void on_engine_state(std::uint64_t number, const engine_state& state, core::time_point now);
    void on_engine_state_failed(std::uint64_t number, core::time_point now);

    /// Advances the leases and sends what is due.
    void on_timer(core::time_point now);

    /// Time at which on_timer() must be called next.
    std::optional<core::time_point> next_deadline() const;

    /// Returns and clears the actions that the I/O layer must carry out.
    std::vector<order_action> take_actions();

    /// Whether no order is queued or outstanding.
    bool idle() const noexcept;

private:
    /// Progress with the engine.
    enum class step
    {
        unsynced, ///< The engine's state must be read before the next order.
        reading,  ///< The state is being read.
        ready,    ///< The next order can be sent.
        ordered,  ///< An order is outstanding.
    };

    void advance(core::time_point now);
    bool is_front(std::uint64_t number) const;
    void process_queue(core::time_point now);
    void read_state();
    void send_front(core::time_point now);
    void finish_front(order_result result, core::time_point now);
    void collect_operations();
    std::optional<std::size_t> take_lease_index(std::uint64_t operation);

    order_sender_settings m_settings;
    core::upstream_id m_upstream;
    row_lease m_lease; ///< Lease on the right to give orders to the engine.
    load_slot m_slot;  ///< Load slot, held while a load is outstanding.
    step m_step = step::unsynced;
    bool m_front_unanswered = false;    ///< Whether the effect of the first order is unknown.
    bool m_read_deferred = false;       ///< Whether m_earliest_read lay ahead at the last step.
    std::uint64_t m_synced_fence = 0;   ///< Fencing number under which the state was read.
    core::time_point m_earliest_read{}; ///< No earlier order can take effect after this time.
    std::deque<engine_order> m_queue;   ///< The first order may be outstanding.
    std::uint64_t m_next_number = 1;    ///< Number of the next operation or read.
    engine_state m_state;               ///< Last state read.
    std::uint64_t m_read_number = 0;    ///< Number of the outstanding read of the state.
    /// Index of the lease that requested each table operation.
    std::unordered_map<std::uint64_t, std::size_t> m_operations;
    std::vector<order_action> m_actions; ///< Actions not yet returned by take_actions().
};

} // namespace tarragontrail::placement
