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

/// Settings of order_sender.
struct order_sender_settings
{
    std::string m_table = "orders";                  ///< Table of the leases.
    std::chrono::milliseconds m_duration{10000};     ///< Length of a lease.
    std::chrono::milliseconds m_safety_margin{2000}; ///< Stop before the lapse, fence ignored.
    std::chrono::milliseconds m_max_order_duration{
        2000};                                      ///< An order ends within this after sending.
    std::chrono::milliseconds m_poll_interval{500}; ///< Pause between reads of another's row.
    std::chrono::milliseconds m_retry_delay{200};   ///< Pause after a failed operation.
};

/// Sends orders to one engine under a lease with a fencing number, one order at a time.
class order_sender
{
public:
    /// `checks_fence` says whether the engine refuses old fencing numbers.
    order_sender(order_sender_settings settings, core::upstream_id upstream, bool checks_fence,
                 core::instance_id self, core::incarnation started, std::uint64_t seed);

    /// Queues an order; an order_ended action follows unless cancelled.
    void submit(const engine_order& order, core::time_point now);

    /// Drops every order that was not sent yet.
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

    /// The shell did not send the order, as its latest time was over.
    void on_order_not_sent(std::uint64_t number, core::time_point now);

    /// The order was sent and no answer came.
    void on_order_lost(std::uint64_t number, core::time_point now);

    /// Results of reading the engine's state.
    void on_engine_state(std::uint64_t number, const engine_state& state, core::time_point now);
    void on_engine_state_failed(std::uint64_t number, core::time_point now);

    /// Handles what is due.
    void on_timer(core::time_point now);

    /// When on_timer is wanted next.
    std::optional<core::time_point> next_deadline() const;

    /// Actions since the last call.
    std::vector<order_action> take_actions();

    /// No order is queued or outstanding.
    bool idle() const noexcept;

private:
    /// Step with the engine.
    enum class step
    {
        unsynced, ///< The engine's state must be read before an order.
        reading,  ///< The state is being read.
        ready,    ///< The next order can go.
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

    order_sender_settings m_settings;   ///< Settings.
    core::upstream_id m_upstream;       ///< Engine.
    row_lease m_lease;                  ///< Lease on the engine.
    load_slot m_slot;                   ///< Slot for weight loads.
    step m_step = step::unsynced;       ///< Step.
    bool m_front_unanswered = false;    ///< The first order's effect is unknown.
    bool m_read_deferred = false;       ///< The engine must not be read before m_earliest_read.
    std::uint64_t m_synced_fence = 0;   ///< Holding under which the state was read.
    core::time_point m_earliest_read{}; ///< No earlier order can still take effect after this.
    std::deque<engine_order> m_queue;   ///< Orders; the first may be outstanding.
    std::uint64_t m_next_number = 1;    ///< Number of the next operation.
    engine_state m_state;               ///< State read last.
    std::uint64_t m_read_number = 0;    ///< Outstanding read of the engine's state.
    std::unordered_map<std::uint64_t, std::size_t> m_operations; ///< Lease by table operation.
    std::vector<order_action> m_actions;                         ///< Actions not yet taken.
};

} // namespace tarragontrail::placement
