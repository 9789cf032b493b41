#pragma once

#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace tarragontrail::recovery {

/// Requests that one instance had in flight at an engine when the engine crashed.
struct crash_report
{
    core::instance_id m_reporter{};
    core::upstream_id m_engine{};
    core::incarnation m_started{};             ///< Engine incarnation that crashed.
    std::vector<std::uint64_t> m_fingerprints; ///< Fingerprints of the requests in flight.

    bool operator==(const crash_report&) const = default;
};

/// Identifies one crash of an engine.
struct crash_identity
{
    core::upstream_id m_engine{};
    core::incarnation m_started{}; ///< Engine incarnation that crashed.

    bool operator==(const crash_identity&) const = default;

    constexpr std::strong_ordering operator<=>(const crash_identity& other) const noexcept
    {
        return m_engine != other.m_engine ? m_engine <=> other.m_engine
                                          : m_started <=> other.m_started;
    }
};

/// Quarantines a request: its fingerprint is refused by all instances for some time.
struct quarantine_notice
{
    std::uint64_t m_fingerprint = 0;        ///< Fingerprint of the request.
    std::chrono::milliseconds m_duration{}; ///< Remaining time, counted from receipt.
    std::vector<crash_identity> m_crashes;  ///< Crashes that the request caused.

    bool operator==(const quarantine_notice&) const = default;
};

/// Crashes that a request was in, none of which has another known cause.
struct crash_history
{
    std::uint64_t m_fingerprint = 0;       ///< Fingerprint of the request.
    std::vector<crash_identity> m_crashes; ///< Oldest first.

    bool operator==(const crash_history&) const = default;
};

/// A crash and the requests in flight at it, as kept for instances that start later.
struct crash_record
{
    crash_identity m_crash;
    std::chrono::milliseconds m_age{};         ///< Time since the crash was first reported.
    std::vector<std::uint64_t> m_fingerprints; ///< Fingerprints of the requests in flight.

    bool operator==(const crash_record&) const = default;
};

/// Clears suspects that ran to completion or were cleared by an operator.
struct exoneration_notice
{
    std::vector<std::uint64_t> m_fingerprints; ///< Fingerprints of the cleared requests.
    bool m_by_operator = false; ///< Cleared by an operator: quarantines are lifted too.

    bool operator==(const exoneration_notice&) const = default;
};

} // namespace tarragontrail::recovery
