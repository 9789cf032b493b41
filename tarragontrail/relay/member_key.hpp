#pragma once

#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/relay/fleet_member.hpp"

#include <optional>
#include <string_view>

namespace tarragontrail::relay {

/// Instance that a row's key names; nothing when it is no instance's key.
inline std::optional<core::instance_id> instance_of_key(std::string_view key)
{
    if (!key.starts_with(member_prefix))
    {
        return std::nullopt;
    }
    const auto number = core::parse_number(key.substr(member_prefix.size()));
    return number ? std::make_optional(core::instance_id{*number}) : std::nullopt;
}

} // namespace tarragontrail::relay
