#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/placement/duty_lease.hpp"
#include "tarragontrail/placement/holder_inquiry.hpp"
#include "tarragontrail/placement/weights_rollout.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"
#include "tarragontrail/relay/row_publisher.hpp"

namespace tarragontrail::relay {

/// Settings of weights_rollout_coordinator.
struct weights_rollout_coordinator_settings
{
    /// Interval of the checks for outdated engines.
    std::chrono::milliseconds m_check_interval{40};
    /// A lease holder without progress for this long is replaced.
    std::chrono::milliseconds m_stall_timeout{3'500};
};

/// Announces to the other instances which engines load weights.
class weights_announcer
{
public:
    virtual ~weights_announcer() = default;

    /// An engine is about to load weights, or has loaded them; version zero is unknown.
    virtual void announce_weights_update(const placement::announce_engine& update) = 0;

    /// This instance gives no more orders under a row of the rollout lease that it cannot write.
    virtual void announce_yield(const placement::duty_release& release) = 0;

    /// Asks an instance itself for its status, whether or not others tell of it.
    virtual void ask_presence(core::instance_id instance) = 0;
};

/// Updates engines to the target weights while this instance holds the rollout lease.
///
/// Any instance can take over at any time: the lease row determines who sends orders, and the
/// engines' reports determine what remains to be done.
class weights_rollout_coordinator
{
public:
    weights_rollout_coordinator(boost::asio::io_context& context,
                                weights_rollout_coordinator_settings settings,
                                const placement::duty_lease_settings& lease, relay_state& state,
                                instance_registry& registry, table_store& store,
                                engine_control& engines, weights_announcer& announcer,
                                const fleet_member& self, row_publisher publish);

    /// Starts the periodic checks.
    void start();

    /// Looks for outdated engines and does what is due; the periodic checks call it.
    void check_work();

    /// Finishes the updates that are due, for a while at most, then gives the lease back. The
    /// instance acquires it only while every instance is leaving.
    void begin_leaving();

    /// The table store has come back from an older copy of itself.
    void begin_era(std::uint64_t era);

    /// The lease's row was read from the table store.
    void on_row(const std::optional<placement::duty_row>& row, const core::store_version& version);
    void on_holding(const placement::duty_holding& holding, const core::store_version& version);

    /// The lease's row was read from the table store: its holder has given it back.
    void on_release(const placement::duty_release& release, const core::store_version& version);

    /// The holder tells that it gives no more orders under its row.
    void on_yield(const placement::duty_release& release);

    /// Some instance sent an order, or an order took effect.
    void on_progress(core::time_point when);

    /// Time since this instance last sent an order or one took effect; nothing when it sent none.
    std::optional<core::duration> since_own_order() const;

    /// Key of the lease's row.
    static constexpr const char* row_key = "duty/weights";

private:
    std::vector<placement::outdated_engine> outdated_engines() const;
    bool is_stalled(core::time_point now) const;
    bool is_holder_doubted(core::time_point now) const;
    placement::holder_status check_holder(core::time_point now);
    void acquire_lease(core::time_point now);
    void write_lease(const placement::duty_write& request);
    void yield_lease();
    void give_lease_back(bool has_orders, bool has_successor);
    void advance_rollout(std::vector<placement::outdated_engine> work, core::time_point now);
    void execute_actions(const std::vector<placement::rollout_action>& actions);
    void request_report(const placement::read_report& request);
    void send_order(const placement::order_weights& order);
    void on_order_answer(const placement::order_weights& order, placement::order_answer answer);
    std::size_t engine_count() const;

    weights_rollout_coordinator_settings m_settings;
    relay_state& m_state;
    instance_registry& m_registry;
    table_store& m_store;
    engine_control& m_engines;
    weights_announcer& m_announcer;
    core::instance_id m_self;
    /// Right to send orders.
    placement::duty_lease m_lease;
    placement::holder_inquiry m_inquiry;
    /// Decides which engine is updated next.
    placement::weights_rollout m_rollout;
    net::timer m_timer;
    /// Start of the current rollout; max while there is nothing to do.
    core::time_point m_work_since = core::time_point::max();
    /// Last order or effect of one, at any instance.
    core::time_point m_last_progress{};
    /// Last order of this instance or effect of one.
    std::optional<core::time_point> m_last_own_order;
    row_publisher m_publish;
    bool m_leaving = false;
};

} // namespace tarragontrail::relay
