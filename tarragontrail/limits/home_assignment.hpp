#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/limits/messages.hpp"
#include "tarragontrail/limits/token_bucket.hpp"

#include <cstddef>
#include <vector>

namespace tarragontrail::limits {

/// Instance of the fleet and its region.
struct member
{
    core::instance_id m_instance{}; ///< Instance.
    core::region_id m_region{};     ///< Its region.

    bool operator==(const member&) const = default;
};

/// Homes of a workspace by rendezvous hashing, best first; the regions take turns.
///
/// Returns `count` instances, or all members when the fleet is smaller.
std::vector<core::instance_id> homes_of(core::workspace_id workspace,
                                        const std::vector<member>& members, std::size_t count);

/// Instance that takes over a share; zero when every member already holds one.
///
/// Prefers the region with the fewest remaining holders, then the best rendezvous score.
core::instance_id successor_of(const share_row& row, std::size_t index,
                               const std::vector<member>& members);

/// Part of a limit that one of `count` shares gets; the parts of all shares sum to the limit
/// exactly.
bucket_limit limit_of_share(const bucket_limit& limit, std::size_t index, std::size_t count);

} // namespace tarragontrail::limits
