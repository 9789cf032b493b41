#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/net/http_types.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// A model in an engine's memory and the version of its weights.
struct model_weights
{
    std::string m_model;                    ///< Name of the model.
    placement::weights_version m_version{}; ///< Version of its weights.

    bool operator==(const model_weights&) const = default;
};

/// What an upstream says of itself.
struct upstream_record
{
    core::upstream_id m_id{};      ///< Identifies one start, or several, of an upstream.
    std::string m_name;            ///< Name behind the identifier.
    std::string m_service;         ///< Service that it serves.
    net::tcp::endpoint m_endpoint; ///< Address.
    std::string m_failure_domain;  ///< Where it stands.
    std::string m_region;          ///< Region of its failure domain.
    std::uint64_t m_slots = 1;     ///< Requests that it runs at once.
    bool m_leaving = false;        ///< Takes no new work.
    core::incarnation m_started{}; ///< Grows with each start under the same name.
    std::chrono::milliseconds m_cold_duration{}; ///< Slow for so long after its start.
    std::vector<model_weights> m_models;         ///< Models in memory.

    bool operator==(const upstream_record&) const = default;
};

} // namespace tarragontrail::relay
