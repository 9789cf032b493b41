#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/limits/token_bucket.hpp"

#include <cstddef>
#include <vector>

namespace tarragontrail::limits {

/// Instance of the fleet, with its region.
struct member
{
    core::instance_id m_instance{};
    core::region_id m_region{};

    bool operator==(const member&) const = default;
};

/// Homes of a workspace: the instances that initially hold one share each of its limit.
///
/// Chosen by rendezvous hashing, highest score first, alternating among regions. Returns `count`
/// instances, or all members if the fleet is smaller.
std::vector<core::instance_id> homes_of(core::workspace_id workspace,
                                        const std::vector<member>& members, std::size_t count);

/// Instance that takes over a share; zero if every member already holds or claims one.
///
/// Prefers the region with the fewest remaining holders, then the highest rendezvous score.
core::instance_id successor_of(const share_row& row, std::size_t index,
                               const std::vector<member>& members);

/// Limit of one of `count` shares; the limits of all shares sum exactly to the whole limit.
bucket_limit limit_of_share(const bucket_limit& limit, std::size_t index, std::size_t count);

} // namespace tarragontrail::limits
