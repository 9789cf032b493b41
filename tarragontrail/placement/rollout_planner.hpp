#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace tarragontrail::placement {

/// Settings of a roll-out.
struct rollout_settings
{
    double m_step_fraction = 0.1;      ///< Engines of a model changed at once; at least one.
    double m_min_ready_fraction = 0.5; ///< Engines of a model that stay ready.
    std::uint64_t m_max_failures = 2;  ///< Failed loads of one version that abort its roll-out.
};

/// What the bundle wants of one engine.
struct desired_engine
{
    core::upstream_id m_upstream{}; ///< Engine.
    engine_state m_state;           ///< State to reach.
};

/// What is known of one engine.
struct observed_engine
{
    core::upstream_id m_upstream{};   ///< Engine.
    engine_state m_state;             ///< State read from it last.
    bool m_alive = false;             ///< It answers.
    bool m_draining = false;          ///< It gets no new work.
    bool m_order_pending = false;     ///< An order of an earlier plan has not ended.
    std::uint64_t m_in_flight = 0;    ///< Requests that run there.
    std::uint64_t m_failed_loads = 0; ///< Failed loads of the desired weights since they were set.
};

/// Stops new work to an engine so that it drains.
struct drain_engine
{
    core::upstream_id m_upstream{}; ///< Engine.

    bool operator==(const drain_engine&) const = default;
};

/// Lets an engine take work again, under the weights version that it now has.
struct admit_engine
{
    core::upstream_id m_upstream{}; ///< Engine.
    weights_version m_version{};    ///< Weights that prefixes are hashed under from now on.

    bool operator==(const admit_engine&) const = default;
};

/// Hands an order to the engine's order_sender.
struct submit_order
{
    core::upstream_id m_upstream{}; ///< Engine.
    engine_order m_order;           ///< Order; its number is set by the submitter.

    bool operator==(const submit_order&) const = default;
};

/// The roll-out of a model's weights stopped after failed loads; an operator must look.
struct rollout_aborted
{
    core::model_id m_model{};     ///< Model.
    weights_version m_version{};  ///< Weights that failed to load.
    std::uint64_t m_failures = 0; ///< Failed loads.

    bool operator==(const rollout_aborted&) const = default;
};

/// Step of a plan.
using rollout_step = std::variant<drain_engine, admit_engine, submit_order, rollout_aborted>;

/// Steps that can be taken now to move the observed engines towards the desired ones.
///
/// A pure function: called again after each observation, it gives the steps that follow.
std::vector<rollout_step> plan_rollout(const rollout_settings& settings,
                                       const std::vector<desired_engine>& desired,
                                       const std::vector<observed_engine>& observed);

} // namespace tarragontrail::placement
