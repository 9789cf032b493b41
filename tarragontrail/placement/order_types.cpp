#include "tarragontrail/placement/order_types.hpp"

#include <algorithm>

namespace tarragontrail::placement {

bool takes_load_slot(const engine_order& order) noexcept
{
    return order.m_kind == order_kind::load_model || order.m_kind == order_kind::load_adapter;
}

bool is_satisfied(const engine_order& order, const engine_state& state)
{
    const bool has_adapter = std::find(state.m_adapters.begin(), state.m_adapters.end(),
                                       order.m_adapter) != state.m_adapters.end();
    switch (order.m_kind)
    {
    case order_kind::load_model:
        return state.m_model == order.m_model && state.m_version == order.m_version;
    case order_kind::unload_model:
        return state.m_model == core::model_id{};
    case order_kind::load_adapter:
        return has_adapter;
    case order_kind::unload_adapter:
        return !has_adapter;
    case order_kind::change_role:
        return state.m_role == order.m_role;
    }
    return false;
}

} // namespace tarragontrail::placement
