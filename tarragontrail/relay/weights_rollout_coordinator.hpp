#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/placement/duty_lease.hpp"
#include "tarragontrail/placement/weights_rollout.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

namespace tarragontrail::relay {

/// Settings of weights_duty.
struct weights_rollout_coordinator_settings
{
    std::chrono::milliseconds m_check_interval{40}; ///< Pause between looks while there is work.
    std::chrono::milliseconds m_stall_timeout{
        3'500}; ///< A holder without progress for so long is replaced.
};

/// Tells the other instances which engines take new weights.
class weights_announcer
{
public:
    virtual ~weights_announcer() = default;

    /// An engine is about to take weights, or has taken them; version zero is unknown.
    virtual void announce_weights_update(const placement::announce_engine& update) = 0;
};

/// Brings the engines to the weights that operators named, while this instance holds the duty.
///
/// Any instance can take over at any moment: the lease row says who gives orders, the engines'
/// reports say what is left to do.
class weights_rollout_coordinator
{
public:
    weights_rollout_coordinator(boost::asio::io_context& context,
                                weights_rollout_coordinator_settings settings,
                                const placement::duty_lease_settings& lease, relay_state& state,
                                instance_registry& registry, table_store& store,
                                engine_control& engines, weights_announcer& announcer,
                                const fleet_member& self);

    /// Begins to look for work.
    void start();

    /// Gives the duty up.
    void stop();

    /// The duty's row as the table has it.
    void on_row(const std::optional<placement::duty_row>& row, std::uint64_t version);

    /// Some instance gave an order, or one took effect.
    void on_progress(core::time_point when);

    /// Time since the last order or effect of an order of this instance; nothing when it gave none.
    std::optional<core::duration> since_own_order() const;

    /// Key of the duty's row.
    static constexpr const char* row_key = "duty/weights";

private:
    void check_work();
    std::vector<placement::outdated_engine> outdated_engines() const;
    void acquire_lease(core::time_point now);
    void execute_actions(const std::vector<placement::rollout_action>& actions);
    void request_report(const placement::read_report& request);
    void send_order(const placement::order_weights& order);
    void on_order_answer(const placement::order_weights& order, placement::order_answer answer);
    std::size_t engine_count() const;
    static core::time_point lease_clock_now();

    weights_rollout_coordinator_settings m_settings;         ///< Settings.
    relay_state& m_state;                                    ///< Upstreams and named weights.
    instance_registry& m_registry;                           ///< Instances.
    table_store& m_store;                                    ///< Store.
    engine_control& m_engines;                               ///< Engines.
    weights_announcer& m_announcer;                          ///< Other instances.
    core::instance_id m_self;                                ///< This instance.
    placement::duty_lease m_lease;                           ///< Right to give orders.
    placement::weights_rollout m_rollout;                    ///< What to do.
    net::timer m_timer;                                      ///< Next look.
    core::time_point m_work_since = core::time_point::max(); ///< First sight of the present work.
    core::time_point m_last_progress{};                      ///< Last order or effect anywhere.
    std::optional<core::time_point> m_last_own_order;        ///< Last order or effect here.
    bool m_stopped = false;                                  ///< The duty was given up.
};

} // namespace tarragontrail::relay
