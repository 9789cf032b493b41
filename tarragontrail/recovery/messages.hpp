#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tarragontrail::recovery {

/// Requests that one instance had in flight at an engine when it crashed.
struct crash_report
{
    core::instance_id m_reporter{};            ///< Reporting instance.
    core::upstream_id m_engine{};              ///< Engine.
    core::incarnation m_started{};             ///< Incarnation that crashed.
    std::vector<std::uint64_t> m_fingerprints; ///< Requests in flight there.

    bool operator==(const crash_report&) const = default;
};

/// One crash of an engine.
struct crash_identity
{
    core::upstream_id m_engine{};  ///< Engine.
    core::incarnation m_started{}; ///< Incarnation that crashed.

    bool operator==(const crash_identity&) const = default;
};

/// A request's fingerprint is refused everywhere for a while.
struct quarantine_notice
{
    std::uint64_t m_fingerprint = 0;        ///< Request.
    std::chrono::milliseconds m_duration{}; ///< Time left, counted from the receipt.
    std::vector<crash_identity> m_crashes;  ///< Crashes that it explains.

    bool operator==(const quarantine_notice&) const = default;
};

/// Suspects that ran to their end, or that an operator cleared.
struct exoneration_notice
{
    std::vector<std::uint64_t> m_fingerprints; ///< Requests.
    bool m_by_operator = false;                ///< Also lifts a quarantine.

    bool operator==(const exoneration_notice&) const = default;
};

} // namespace tarragontrail::recovery
