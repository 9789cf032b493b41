#pragma once

#include "tarragontrail/entry/control_service.hpp"
#include "tarragontrail/entry/routing_service.hpp"
#include "tarragontrail/placement/order_sender.hpp"
#include "tarragontrail/placement/rollout_planner.hpp"

#include <map>
#include <memory>

namespace tarragontrail::entry {

/// Settings of placement_service.
struct placement_settings
{
    std::chrono::milliseconds m_plan_interval{500};     ///< Time between plans.
    std::chrono::milliseconds m_failure_lapse{600'000}; ///< A failed load is forgotten after this.
    placement::rollout_settings m_rollout;              ///< Pace of a roll-out.
    placement::order_sender_settings m_sender;          ///< Leases of engines.
};

/// Rolls the bundle's weights out over the engines of the models that this instance plans for.
///
/// One live instance plans for each model. Two that believe so for a while do no harm, as orders
/// go out under a lease with a fencing number.
class placement_service : public control_service
{
public:
    placement_service(control_context& context, const placement_settings& settings,
                      membership_service& membership, routing_service& routing, std::uint64_t seed);

    /// Takes the models and engines of a bundle.
    void on_bundle(const std::shared_ptr<const config::bundle>& applied);

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    /// One engine that this instance has given orders to.
    struct managed
    {
        std::unique_ptr<placement::order_sender> m_sender; ///< Orders under a lease.
        std::uint64_t m_pending = 0;                       ///< Orders not ended.
        std::uint64_t m_failed_loads = 0;                  ///< Failed loads of the desired weights.
        core::time_point m_last_failure{};                 ///< Moment of the last one.
        std::uint64_t m_running = 0;                       ///< Requests at the engine as it told.
        bool m_answers = true;                             ///< It answered the last question.
        bool m_asked = false;                              ///< A question is under way.
    };

    std::vector<core::model_id> own_models() const;
    void plan(core::model_id model, core::time_point now);
    bool is_settled(core::model_id model) const;
    placement::weights_version desired_version(core::model_id model) const;
    managed& manage(core::upstream_id engine);
    void ask_running(core::upstream_id engine);
    void take(const placement::rollout_step& step, core::time_point now);
    void carry_out(core::upstream_id engine, managed& each, const placement::order_action& action,
                   core::time_point now);
    void send(core::upstream_id engine, const placement::send_order& order, core::time_point now);
    void on_order_reply(core::upstream_id engine, std::uint64_t number,
                        const net::http_client::fetch_result& result);
    void read_state(core::upstream_id engine, std::uint64_t number);
    void end_order(core::upstream_id engine, managed& each, const placement::order_ended& ended,
                   core::time_point now);

    control_context& m_context;                      ///< Shared means.
    placement_settings m_settings;                   ///< Settings.
    membership_service& m_membership;                ///< Owners of models.
    routing_service& m_routing;                      ///< Engines.
    net::http_client m_client;                       ///< Connections to engines.
    core::seeded_random m_random;                    ///< Nonces of the leases.
    std::shared_ptr<const config::bundle> m_bundle;  ///< Bundle in force.
    std::map<core::upstream_id, managed> m_engines;  ///< Engines with orders.
    std::map<std::uint64_t, core::model_id> m_loads; ///< Models by number of a load order.
    core::time_point m_next_plan{};                  ///< Next plan.
    std::uint64_t m_next_order = 1;                  ///< Number of the next order.
};

} // namespace tarragontrail::entry
