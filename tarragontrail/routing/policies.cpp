#include "tarragontrail/routing/policies.hpp"

namespace tarragontrail::routing {

policy_variant make_policy(const routing_settings& settings)
{
    switch (settings.m_policy)
    {
    case policy_kind::random:
        return random_policy();
    case policy_kind::least_loaded:
        return least_loaded_policy();
    case policy_kind::rendezvous:
        return rendezvous_policy();
    case policy_kind::bounded_rendezvous:
        return bounded_rendezvous_policy(settings);
    case policy_kind::least_cost:
        break;
    }
    return least_cost_policy(settings);
}

policy_kind kind_of(const policy_variant& policy) noexcept
{
    return std::visit([](const auto& item) { return item.m_kind; }, policy);
}

} // namespace tarragontrail::routing
