#pragma once

#include "tarragontrail/core/ids.hpp"

#include <string>

namespace tarragontrail::relay {

/// Keys of the rows of entry instances begin with this.
constexpr std::string_view member_prefix = "member/";

/// Entry instance of the fleet, as its row in the platform's store describes it.
struct fleet_member
{
    core::instance_id m_instance{}; ///< Instance.
    core::incarnation m_started{};  ///< Its incarnation.
    std::string m_failure_domain;   ///< Failure domain.
    std::string m_region;           ///< Region.
    std::string m_caller_address;   ///< Address for callers.
    std::string m_peer_address;     ///< Address for other instances.

    bool operator==(const fleet_member&) const = default;
};

} // namespace tarragontrail::relay
