#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/net/http_types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// How a request may be repeated when its outcome is unknown.
enum class request_kind
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    stream,         ///< Event stream; runs at most once unless the route's streams are resumable.
};

/// Service that receives a share of a route's requests.
struct route_target
{
    std::string m_service;
    std::uint64_t m_weight = 1; ///< Weight relative to the route's other targets.
};

/// Requests of one host and path prefix, and how they are served.
struct route
{
    std::string m_name;   ///< Name in logs.
    std::string m_host;   ///< Lower case, without a port.
    std::string m_prefix; ///< Path prefix; begins and ends with a slash.
    request_kind m_kind = request_kind::idempotent;
    std::chrono::milliseconds m_timeout{}; ///< Upper bound of the time until the last byte.
    /// Time to first byte up to which a response has its full value.
    std::chrono::milliseconds m_target_latency{};
    std::uint64_t m_priority = 0;        ///< Zero is the most urgent.
    std::vector<route_target> m_targets; ///< Never empty.
    std::uint64_t m_max_attempts = 1;    ///< Upstreams that may run one request.
    bool m_public = false;               ///< Requests need no key.
    bool m_resumable = false;            ///< A stream can resume after its last event.

    /// Whether streams of this route may go on at another upstream.
    bool is_resumable_stream() const { return m_kind == request_kind::stream && m_resumable; }
};

/// Memory and bandwidth of the engines of a service.
struct engine_traits
{
    /// Memory for running requests and cached parts, in tokens.
    std::uint64_t m_capacity_tokens = 0;
    /// Size of one token's cached state.
    std::uint64_t m_token_bytes = 0;
    /// Bandwidth for transfers of cached state in Mbit/s, per engine.
    double m_link_mbps = 0;
    std::vector<std::string> m_models;
};

/// Store of cached prompt parts, separate from the engines.
struct cache_store
{
    core::upstream_id m_id{}; ///< Identifies it among the holders of parts.
    net::tcp::endpoint m_endpoint;
    std::string m_failure_domain;
    std::string m_region;                     ///< Region of its failure domain.
    std::uint64_t m_max_concurrent_calls = 0; ///< Calls that it serves concurrently.
    std::uint64_t m_capacity_tokens = 0;
    double m_link_mbps = 0; ///< Bandwidth in Mbit/s.

    /// Upper bound of the tokens that it is assumed to hold. It may exceed the capacity: events
    /// report evicted parts, and a missing part costs only a failed fetch.
    std::uint64_t assumed_capacity_tokens() const noexcept { return m_capacity_tokens * 5 / 4; }
};

/// Group of upstreams that serve the same requests.
struct service
{
    std::string m_name;
    std::string m_health_path;
    /// Connections that one upstream accepts from all clients together.
    std::uint64_t m_max_connections = 0;
    /// Set for a service that runs models.
    std::optional<engine_traits> m_engine;
    /// Set for a cache store.
    std::optional<cache_store> m_store;
};

/// Limits on requests of callers.
struct caller_limits
{
    /// Largest request head.
    std::uint64_t m_header_bytes = 16'384;
    /// Largest request body.
    std::uint64_t m_body_bytes = 4'194'304;
    /// Longest time for a head to arrive.
    std::chrono::milliseconds m_header_timeout{3'000};
    /// Longest time between two requests of a connection.
    std::chrono::milliseconds m_idle_timeout{15'000};
};

/// Keys, rate limit and cache isolation of one workspace.
struct workspace
{
    std::string m_name;
    std::vector<std::string> m_keys;         ///< Keys of callers that belong to the workspace.
    std::optional<std::uint64_t> m_priority; ///< Overrides the route's priority.
    bool m_counts_tokens = false;            ///< Rate and burst are in tokens rather than requests.
    std::uint64_t m_default_tokens = 0;      ///< Tokens charged for a request that states none.
    bool m_isolated = false;                 ///< Shares no cached parts with other workspaces.
    std::uint64_t m_rate = 0;  ///< Units per second over the whole fleet; zero for no limit.
    std::uint64_t m_burst = 0; ///< Units at once over the whole fleet.
};

/// One version of the configuration that operators write.
struct relay_config
{
    std::uint64_t m_version = 0; ///< Grows with each change.
    std::vector<route> m_routes;
    std::vector<service> m_services;
    caller_limits m_limits;
    std::vector<workspace> m_workspaces; ///< Empty when requests need no key.
};

} // namespace tarragontrail::relay
