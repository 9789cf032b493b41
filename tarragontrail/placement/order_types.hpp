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

/// Part that an engine plays.
enum class engine_role : std::uint64_t
{
    combined = 0, ///< Prefill and decode.
    prefill = 1,  ///< Prefill only.
    decode = 2,   ///< Decode only.
};

/// What an engine runs, as desired or as observed.
struct engine_state
{
    core::model_id m_model{};                   ///< Model; zero when none is loaded.
    weights_version m_version{};                ///< Its weights.
    std::vector<core::adapter_id> m_adapters;   ///< Adapters, sorted.
    engine_role m_role = engine_role::combined; ///< Part.

    bool operator==(const engine_state&) const = default;
};

/// Kinds of orders.
enum class order_kind : std::uint64_t
{
    load_model = 1,     ///< Load weights; takes a load slot.
    unload_model = 2,   ///< Drop the model.
    load_adapter = 3,   ///< Load an adapter; takes a load slot.
    unload_adapter = 4, ///< Drop an adapter.
    change_role = 5,    ///< Change the part that the engine plays.
};

/// Order to one engine.
struct engine_order
{
    std::uint64_t m_number = 0;   ///< Unique for its holder; echoed with the result.
    order_kind m_kind{};          ///< Kind.
    core::model_id m_model{};     ///< Model.
    weights_version m_version{};  ///< Weights, when a model is loaded.
    core::adapter_id m_adapter{}; ///< Adapter, for adapter orders.
    engine_role m_role{};         ///< New part, when it changes.

    bool operator==(const engine_order&) const = default;
};

/// The order takes weights from the weight store.
bool takes_load_slot(const engine_order& order) noexcept;

/// The state already shows the order's effect.
bool is_satisfied(const engine_order& order, const engine_state& state);

/// Asks the shell to send an order; it must drop it after the latest time instead of sending.
struct send_order
{
    core::upstream_id m_upstream{};   ///< Engine.
    engine_order m_order;             ///< Order.
    std::uint64_t m_fence = 0;        ///< Fencing number to send with it.
    core::time_point m_latest_send{}; ///< Not to be sent after this.
};

/// Asks the shell to read the engine's state, with the fencing number.
struct read_engine
{
    core::upstream_id m_upstream{}; ///< Engine.
    std::uint64_t m_number = 0;     ///< Echoed with the result.
    std::uint64_t m_fence = 0;      ///< Fencing number to send with it.
};

/// How an order ended.
enum class order_result
{
    done,     ///< Its effect is there.
    rejected, ///< The engine answered with an error.
    undone,   ///< It was lost, and the state read back does not show its effect.
};

/// Result of an order, for whoever submitted it.
struct order_ended
{
    core::upstream_id m_upstream{}; ///< Engine.
    std::uint64_t m_number = 0;     ///< Order's number.
    order_result m_result{};        ///< Result.
};

/// State read back from an engine, for whoever plans.
struct engine_observed
{
    core::upstream_id m_upstream{}; ///< Engine.
    engine_state m_state;           ///< State.
};

/// What order_sender asks of its shell.
using order_action = std::variant<idempotency::table_read, idempotency::table_write, send_order,
                                  read_engine, order_ended, engine_observed>;

} // namespace tarragontrail::placement
