#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>

namespace tarragontrail::routing {

/// Whether an engine takes new work.
enum class engine_state
{
    unready, ///< Not serving, for example while it loads weights.
    ready,   ///< Takes new work.
    leaving, ///< Finishes what it has and takes nothing new.
};

/// One engine as membership and placement know it.
struct engine_entry
{
    core::upstream_id m_upstream_id{};             ///< Engine.
    core::region_id m_region_id{};                 ///< Region it stands in.
    core::failure_domain_id m_failure_domain_id{}; ///< Failure domain it stands in.
    core::model_id m_model_id{};                   ///< Model it serves.
    engine_state m_state = engine_state::unready;  ///< Whether it takes new work.
    core::incarnation m_incarnation{};             ///< Its current start.
    std::uint64_t m_weights_version = 0;           ///< Weights it serves.

    bool operator==(const engine_entry&) const = default;
};

/// One load report of an engine.
struct load_report
{
    core::incarnation m_incarnation{};      ///< Incarnation that reports.
    std::uint64_t m_queued_tokens = 0;      ///< Prompt tokens waiting for prefill.
    std::uint64_t m_running = 0;            ///< Requests being decoded.
    double m_prefill_tokens_per_second = 0; ///< Rate while prefilling; zero if unknown.
    double m_decode_tokens_per_second = 0;  ///< Rate while decoding; zero if unknown.
    core::time_point m_reported_at{};       ///< Moment that the figures describe.
};

} // namespace tarragontrail::routing
