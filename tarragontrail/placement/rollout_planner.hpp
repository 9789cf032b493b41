#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace tarragontrail::placement {

/// Limits of a roll-out.
struct rollout_settings
{
    /// Fraction of a model's engines changed at once; at least one engine.
    double m_step_fraction = 0.1;
    double m_min_ready_fraction = 0.5; ///< Fraction of a model's engines that must stay ready.
    /// Number of failed loads of a version that aborts its roll-out.
    std::uint64_t m_max_failures = 2;
};

/// Desired state of an engine according to the bundle.
struct desired_engine
{
    core::upstream_id m_upstream{};
    engine_state m_state;
};

/// Observed state of an engine.
struct observed_engine
{
    core::upstream_id m_upstream{};
    engine_state m_state;             ///< Last state read from the engine.
    bool m_alive = false;             ///< Whether it answers.
    bool m_draining = false;          ///< Whether it receives no new requests.
    bool m_order_pending = false;     ///< Whether an order of an earlier plan is still pending.
    std::uint64_t m_in_flight = 0;    ///< Number of requests that it runs.
    std::uint64_t m_failed_loads = 0; ///< Failed loads of the desired weights since those were set.
};

/// Step: stop new requests to an engine so that it drains.
struct drain_engine
{
    core::upstream_id m_upstream{};

    bool operator==(const drain_engine&) const = default;
};

/// Step: allow requests to an engine again, under the weights version that it now has.
struct admit_engine
{
    core::upstream_id m_upstream{};
    weights_version m_version{}; ///< Version that prefixes are hashed with from now on.

    bool operator==(const admit_engine&) const = default;
};

/// Step: submit an order to the engine's order_sender.
struct submit_order
{
    core::upstream_id m_upstream{};
    engine_order m_order; ///< The submitter sets its number.

    bool operator==(const submit_order&) const = default;
};

/// Step: report that the roll-out of a model's weights stopped after failed loads. An operator must
/// intervene.
struct rollout_aborted
{
    core::model_id m_model{};
    weights_version m_version{};  ///< Version that failed to load.
    std::uint64_t m_failures = 0; ///< Number of failed loads.

    bool operator==(const rollout_aborted&) const = default;
};

/// Step of a plan.
using rollout_step = std::variant<drain_engine, admit_engine, submit_order, rollout_aborted>;

/// Returns the steps that can be taken now to move the observed engines towards the desired state.
///
/// A pure function: it is called again after each observation and then returns the next steps.
std::vector<rollout_step> plan_rollout(const rollout_settings& settings,
                                       const std::vector<desired_engine>& desired,
                                       const std::vector<observed_engine>& observed);

} // namespace tarragontrail::placement
