#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>

namespace tarragontrail::routing {

enum class engine_state
{
    unready, ///< Not serving, for example while it loads weights.
    ready,   ///< Accepts new work.
    leaving, ///< Finishes its current work and accepts nothing new.
};

/// Engine as described by membership and placement.
struct engine_entry
{
    core::upstream_id m_upstream_id{};
    core::region_id m_region_id{};
    core::failure_domain_id m_failure_domain_id{};
    core::model_id m_model_id{};
    engine_state m_state = engine_state::unready;
    core::incarnation m_incarnation{};
    std::uint64_t m_weights_version = 0; ///< Version of the weights that it serves.

    bool operator==(const engine_entry&) const = default;
};

/// Load reported by an engine.
struct load_report
{
    core::incarnation m_incarnation{};      ///< Incarnation that sent the report.
    std::uint64_t m_queued_tokens = 0;      ///< Prompt tokens waiting for prefill.
    std::uint64_t m_running = 0;            ///< Requests being decoded.
    double m_prefill_tokens_per_second = 0; ///< Prefill rate; zero if unknown.
    double m_decode_tokens_per_second = 0;  ///< Decode rate; zero if unknown.
    core::time_point m_reported_at{};       ///< Time that the figures describe.
};

} // namespace tarragontrail::routing
