#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/idempotency/table_operations.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::placement {

/// Version of a model's weights.
enum class weights_version : std::uint64_t
{
};

/// Role of an engine in inference.
enum class engine_role : std::uint64_t
{
    combined = 0, ///< Prefill and decode.
    prefill = 1,  ///< Prefill only.
    decode = 2,   ///< Decode only.
};

/// Desired or observed configuration of an engine.
struct engine_state
{
    core::model_id m_model{}; ///< Model; zero when none is loaded.
    weights_version m_version{};
    std::vector<core::adapter_id> m_adapters; ///< Sorted.
    engine_role m_role = engine_role::combined;

    bool operator==(const engine_state&) const = default;
};

/// Kind of an order to an engine.
enum class order_kind : std::uint64_t
{
    load_model = 1,     ///< Load a model's weights; needs a load slot.
    unload_model = 2,   ///< Unload the model.
    load_adapter = 3,   ///< Load an adapter; needs a load slot.
    unload_adapter = 4, ///< Unload an adapter.
    change_role = 5,    ///< Change the engine's role.
};

/// Order to an engine.
struct engine_order
{
    std::uint64_t m_number = 0; ///< Unique within its sender; echoed with the result.
    order_kind m_kind{};
    core::model_id m_model{};
    weights_version m_version{};
    core::adapter_id m_adapter{}; ///< Used by adapter orders only.
    engine_role m_role{};         ///< New role; used by change_role only.

    bool operator==(const engine_order&) const = default;
};

/// Whether the order loads weights and therefore needs a load slot.
bool takes_load_slot(const engine_order& order) noexcept;

/// Whether the state already shows the effect of the order.
bool is_satisfied(const engine_order& order, const engine_state& state);

/// Action: send an order. The I/O layer must drop it instead once m_latest_send has passed.
struct send_order
{
    core::upstream_id m_upstream{};
    engine_order m_order;
    std::uint64_t m_fence = 0;        ///< Fencing number to send with it.
    core::time_point m_latest_send{}; ///< Latest time at which it may be sent.
};

/// Action: read the engine's state, with the fencing number.
struct read_engine
{
    core::upstream_id m_upstream{};
    std::uint64_t m_number = 0; ///< Echoed with the result.
    std::uint64_t m_fence = 0;  ///< Fencing number to send with it.
};

/// Outcome of an order.
enum class order_result
{
    done,     ///< Its effect was confirmed.
    rejected, ///< The engine answered with an error.
    undone,   ///< It was not answered, and the state read afterwards does not show its effect.
};

/// Action: report the outcome of an order to its submitter.
struct order_ended
{
    core::upstream_id m_upstream{};
    std::uint64_t m_number = 0; ///< Number of the order.
    order_result m_result{};
};

/// Action: report a state read from an engine to the planner.
struct engine_observed
{
    core::upstream_id m_upstream{};
    engine_state m_state;
};

/// Actions of order_sender that the I/O layer carries out.
using order_action = std::variant<idempotency::table_read, idempotency::table_write, send_order,
                                  read_engine, order_ended, engine_observed>;

} // namespace tarragontrail::placement
