#pragma once

#include "tarragontrail/routing/bounded_rendezvous_policy.hpp"
#include "tarragontrail/routing/least_cost_policy.hpp"
#include "tarragontrail/routing/least_loaded_policy.hpp"
#include "tarragontrail/routing/random_policy.hpp"
#include "tarragontrail/routing/rendezvous_policy.hpp"

#include <variant>

namespace tarragontrail::routing {

using policy_variant = std::variant<random_policy, least_loaded_policy, rendezvous_policy,
                                    bounded_rendezvous_policy, least_cost_policy>;

/// Creates the policy that the settings select.
policy_variant make_policy(const routing_settings& settings);

policy_kind kind_of(const policy_variant& policy) noexcept;

} // namespace tarragontrail::routing
