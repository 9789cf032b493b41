#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/net/http_types.hpp"
#include "tarragontrail/placement/order_types.hpp"
#include "tarragontrail/relay/upstream_identity.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Model loaded in an engine's memory and the version of its weights.
struct model_weights
{
    std::string m_model;
    placement::weights_version m_version{};

    bool operator==(const model_weights&) const = default;
};

/// Row of an upstream, as the upstream itself wrote it.
struct upstream_record
{
    core::upstream_id m_id{}; ///< Identifies the upstream; several starts may share it.
    std::string m_name;       ///< Name that the identifier is derived from.
    std::string m_service;    ///< Name of the service that it belongs to.
    net::tcp::endpoint m_endpoint;
    std::string m_failure_domain;
    std::string m_region;                        ///< Region of its failure domain.
    std::uint64_t m_slots = 1;                   ///< Requests that it runs concurrently.
    bool m_leaving = false;                      ///< Accepts no new requests.
    core::incarnation m_started{};               ///< Grows with each start under the same name.
    software_version m_software;                 ///< Software of this start.
    std::uint64_t m_reports = 0;                 ///< Rows that it has written since its start.
    std::chrono::milliseconds m_cold_duration{}; ///< It is slow for this long after its start.
    std::vector<model_weights> m_models;         ///< Models in memory; empty for a plain service.

    /// The run of its process that wrote the row.
    upstream_identity identity() const { return {m_id, m_started, m_software}; }

    bool operator==(const upstream_record&) const = default;
};

} // namespace tarragontrail::relay
