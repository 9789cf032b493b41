#include "tarragontrail/routing/actions.hpp"

namespace tarragontrail::routing {

const char* to_string(route_reason reason) noexcept
{
    switch (reason)
    {
    case route_reason::cached_prefix:
        return "cached_prefix";
    case route_reason::predicted_prefix:
        return "predicted_prefix";
    case route_reason::hashed:
        return "hashed";
    case route_reason::lookup_timeout:
        return "lookup_timeout";
    case route_reason::load:
        return "load";
    case route_reason::other_region:
        return "other_region";
    case route_reason::random:
        return "random";
    }
    return "unknown";
}

const char* to_string(unroutable_reason reason) noexcept
{
    switch (reason)
    {
    case unroutable_reason::no_engine:
        return "no_engine";
    case unroutable_reason::no_weights:
        return "no_weights";
    case unroutable_reason::none_ready:
        return "none_ready";
    case unroutable_reason::all_excluded:
        return "all_excluded";
    case unroutable_reason::region_budget_spent:
        return "region_budget_spent";
    case unroutable_reason::deadline_passed:
        return "deadline_passed";
    }
    return "unknown";
}

const char* to_string(policy_kind kind) noexcept
{
    switch (kind)
    {
    case policy_kind::random:
        return "random";
    case policy_kind::least_loaded:
        return "least_loaded";
    case policy_kind::rendezvous:
        return "rendezvous";
    case policy_kind::bounded_rendezvous:
        return "bounded_rendezvous";
    case policy_kind::least_cost:
        return "least_cost";
    }
    return "unknown";
}

} // namespace tarragontrail::routing
