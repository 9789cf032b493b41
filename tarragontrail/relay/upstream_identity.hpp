#pragma once

#include "tarragontrail/core/ids.hpp"

#include <compare>
#include <string>

namespace tarragontrail::relay {

/// Version of the software that an upstream runs, as the upstream names it; not of its weights.
/// Versions have no order, and what two of them generate does not fit together.
struct software_version
{
    std::string m_name;

    bool operator==(const software_version&) const = default;

    std::strong_ordering operator<=>(const software_version& other) const noexcept
    {
        return m_name <=> other.m_name;
    }
};

/// One run of an upstream's process. What was learned of one run, such as its software, its cache
/// or that it is leaving, says nothing about another, even under the same name and address.
struct upstream_identity
{
    core::upstream_id m_id{};
    core::incarnation m_started{}; ///< Grows with each start under the same name.
    software_version m_software;

    bool operator==(const upstream_identity&) const = default;
};

} // namespace tarragontrail::relay
