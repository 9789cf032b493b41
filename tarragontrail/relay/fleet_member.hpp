#pragma once

#include "tarragontrail/core/ids.hpp"

#include <string>

namespace tarragontrail::relay {

/// Key prefix of the instances' rows.
constexpr std::string_view member_prefix = "member/";

/// Requests that are passed on arrive at the peer port plus this.
constexpr std::uint16_t passed_on_port_offset = 1;

/// Instance of the fleet, as its row in the table store describes it.
struct fleet_member
{
    core::instance_id m_instance{};
    core::incarnation m_started{}; ///< Grows with each start of the instance.
    std::string m_failure_domain;
    std::string m_region;
    std::string m_caller_address; ///< Address for callers.
    std::string m_peer_address;   ///< Address for other instances.

    bool operator==(const fleet_member&) const = default;
};

} // namespace tarragontrail::relay
