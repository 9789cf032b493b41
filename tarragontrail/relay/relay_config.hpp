#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/net/http_types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// What may be done with a request whose outcome is unknown.
enum class request_kind
{
    idempotent,     ///< May run again.
    non_idempotent, ///< Runs at most once.
    stream,         ///< A series of events; runs at most once unless it can be resumed.
};

/// Service that gets a share of a route's requests.
struct route_target
{
    std::string m_service;      ///< Name of the service.
    std::uint64_t m_weight = 1; ///< Share, against the weights of the route's other targets.
};

/// Requests of one host and path prefix, and how they are served.
struct route
{
    std::string m_name;                             ///< Name for logs.
    std::string m_host;                             ///< Host in lower case, without a port.
    std::string m_prefix;                           ///< Path prefix; begins and ends with a slash.
    request_kind m_kind = request_kind::idempotent; ///< Kind.
    std::chrono::milliseconds m_timeout{};          ///< Longest time until the last byte.
    std::chrono::milliseconds m_target_latency{};   ///< Time to the first byte worth full value.
    std::uint64_t m_priority = 0;                   ///< Zero is the most urgent.
    std::vector<route_target> m_targets;            ///< At least one.
    std::uint64_t m_max_attempts = 1;               ///< Upstreams that may run one request.
    bool m_public = false;                          ///< Needs no key.
    bool m_resumable = false;                       ///< A stream goes on after its last event.
};

/// What the upstreams of a service that run models can hold and move.
struct engine_traits
{
    std::uint64_t m_capacity_tokens = 0; ///< Tokens of running requests and cached parts.
    std::uint64_t m_token_bytes = 0;     ///< Size of one token's cache.
    double m_link_mbps = 0;              ///< Rate at which one engine sends or gets cache.
    std::vector<std::string> m_models;   ///< Names of its models.
};

/// Store of cached prompt parts, beside the engines.
struct cache_store
{
    core::upstream_id m_id{};                 ///< Identifies it among the holders of parts.
    net::tcp::endpoint m_endpoint;            ///< Address.
    std::string m_failure_domain;             ///< Where it stands.
    std::string m_region;                     ///< Region of its failure domain.
    std::uint64_t m_max_concurrent_calls = 0; ///< Calls for its events that it serves at once.
    std::uint64_t m_capacity_tokens = 0;      ///< Tokens that it keeps.
    double m_link_mbps = 0;                   ///< Rate of its link.

    /// Tokens that it is believed to hold at most; its events tell of what it drops, and only a
    /// part that is fetched in vain costs anything.
    std::uint64_t assumed_capacity_tokens() const noexcept { return m_capacity_tokens * 5 / 4; }
};

/// Group of upstreams that serve the same requests.
struct service
{
    std::string m_name;                    ///< Name.
    std::string m_health_path;             ///< Path of its health check.
    std::uint64_t m_max_connections = 0;   ///< Connections that one upstream takes from everyone.
    std::optional<engine_traits> m_engine; ///< Set when it runs models.
    std::optional<cache_store> m_store;    ///< Set when it is a store of cached parts.
};

/// Bounds on what a caller may send.
struct caller_limits
{
    std::uint64_t m_header_bytes = 16'384;             ///< Largest request head.
    std::uint64_t m_body_bytes = 4'194'304;            ///< Largest request body.
    std::chrono::milliseconds m_header_timeout{3'000}; ///< Longest arrival of a head.
    std::chrono::milliseconds m_idle_timeout{15'000};  ///< Longest pause between requests.
};

/// Keys, limits and separation of one workspace.
struct workspace
{
    std::string m_name;                      ///< Name.
    std::vector<std::string> m_keys;         ///< Keys that act for it.
    std::optional<std::uint64_t> m_priority; ///< Goes before the route's priority.
    bool m_counts_tokens = false;            ///< Rate and burst are tokens, else requests.
    std::uint64_t m_default_tokens = 0;      ///< Tokens of a request that names none.
    bool m_isolated = false;                 ///< Shares no cached part with another workspace.
    std::uint64_t m_rate = 0;                ///< Units a second over the whole fleet; 0: no limit.
    std::uint64_t m_burst = 0;               ///< Units at once over the whole fleet.
};

/// Everything that operators set, as of one version.
struct relay_config
{
    std::uint64_t m_version = 0;         ///< Grows with each change.
    std::vector<route> m_routes;         ///< Routes.
    std::vector<service> m_services;     ///< Services.
    caller_limits m_limits;              ///< Bounds for callers.
    std::vector<workspace> m_workspaces; ///< Empty when requests need no key.
};

} // namespace tarragontrail::relay
