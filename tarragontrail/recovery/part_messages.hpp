#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/recovery/messages.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace tarragontrail::recovery {

/// Parts of prompts that one instance had in flight at a crashed engine, of requests whose answers
/// had not begun.
struct part_crash_report
{
    core::instance_id m_reporter{};
    core::upstream_id m_engine{};
    core::incarnation m_started{};      ///< Engine incarnation that crashed.
    std::vector<std::uint64_t> m_parts; ///< Sorted, without repeats.

    bool operator==(const part_crash_report&) const = default;
};

/// Parts under which an engine has begun to write an answer.
struct part_exoneration_notice
{
    std::vector<std::uint64_t> m_parts;
    /// An answer has begun since the crashes known to the sender; otherwise all of its answers were
    /// before them, which is weaker evidence.
    bool m_since_crashes = false;

    bool operator==(const part_exoneration_notice&) const = default;
};

/// The sender sends one request with suspected parts to an engine; the others hold theirs.
struct part_trial_notice
{
    std::vector<std::uint64_t> m_parts; ///< Suspected parts of the request.
    core::upstream_id m_engine{};

    bool operator==(const part_trial_notice&) const = default;
};

/// Refuses each request that has all of these parts.
struct part_quarantine_notice
{
    std::vector<std::uint64_t> m_parts; ///< Sorted; more than one while they cannot be told apart.
    std::chrono::milliseconds m_duration{}; ///< Remaining time, counted from receipt.
    std::vector<crash_identity> m_crashes;  ///< Crashes that the parts explain.

    bool operator==(const part_quarantine_notice&) const = default;
};

} // namespace tarragontrail::recovery
