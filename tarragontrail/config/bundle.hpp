#pragma once

#include "tarragontrail/config/key_digest.hpp"
#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragontrail::config {

/// Region with its failure domains.
struct region
{
    std::string m_name;                         ///< Unique name.
    std::vector<std::string> m_failure_domains; ///< Names; unique across all regions.
};

/// State of an API key.
enum class key_state : std::uint8_t
{
    active,    ///< Accepted.
    withdrawn, ///< Rejected permanently.
};

/// API key of a workspace; only its digest is stored.
struct key_entry
{
    sha256_digest m_digest{};      ///< SHA-256 of the key.
    std::uint32_t m_id = 0;        ///< Key number that operators use; unique within its workspace.
    std::uint32_t m_workspace = 0; ///< Index of the owning workspace in bundle::m_workspaces.
    key_state m_state = key_state::active;
};

/// Workspace with its rate limit; its keys are
/// bundle::m_keys[m_first_key, m_first_key + m_key_count).
struct workspace
{
    std::string m_name;                    ///< Unique name.
    core::workspace_id m_id{};             ///< Hash of the name.
    std::uint32_t m_tokens_per_second = 0; ///< Token rate summed over all instances.
    std::uint32_t m_burst_tokens = 0;      ///< Token burst summed over all instances.
    std::uint32_t m_first_key = 0;         ///< Index of its first key in bundle::m_keys.
    std::uint16_t m_key_count = 0;
    std::uint8_t m_priority = 0; ///< Engine scheduling priority, 0 (lowest) to 9 (highest).
};

/// Model that engines serve.
struct model
{
    std::string m_name;                  ///< Unique name.
    std::string m_weights_version;       ///< Version of the weights that engines must serve.
    std::vector<std::string> m_adapters; ///< Names of adapters that engines may load.
    std::uint32_t m_minimum_engines = 0; ///< Number of engines that must have it loaded.
};

/// Kind of an upstream.
enum class upstream_kind : std::uint8_t
{
    engine,  ///< Model engine.
    service, ///< Plain service.
};

/// Whether new requests are sent to an upstream.
enum class upstream_state : std::uint8_t
{
    ready,    ///< Receives new requests.
    draining, ///< Finishes the requests it has and receives no new ones.
};

/// Model engine or plain service that requests are forwarded to.
struct upstream
{
    std::string m_name;       ///< Unique name.
    core::upstream_id m_id{}; ///< Hash of the name.
    upstream_kind m_kind = upstream_kind::engine;
    std::string m_address;               ///< Numeric IPv4 or IPv6 address.
    std::uint16_t m_port = 0;            ///< TCP port.
    std::string m_region;                ///< Name of its region.
    std::string m_failure_domain;        ///< Name of its failure domain.
    std::string m_model;                 ///< Model loaded at startup; may be empty.
    std::string m_weights_version;       ///< Version of the weights loaded at startup.
    std::vector<std::string> m_adapters; ///< Names of the adapters loaded at startup.
    bool m_checks_fence = false;         ///< Rejects orders with an outdated fencing number.
    upstream_state m_state = upstream_state::ready;
};

/// Route to plain services.
struct service_route
{
    std::string m_path_prefix;                     ///< Path prefix; the longest match wins.
    std::vector<std::string> m_upstreams;          ///< Names of plain services.
    std::vector<std::string> m_idempotent_methods; ///< HTTP methods that may be retried.
};

/// Limits applied to every request.
struct limits
{
    std::uint32_t m_request_bytes = 8 * 1024 * 1024; ///< Maximum request body size in bytes.
    std::uint32_t m_output_tokens = 8192;   ///< Output token limit of requests that set none.
    std::uint32_t m_queued_requests = 1024; ///< Maximum queue length of one instance.
    /// Timeout of requests without a deadline.
    std::chrono::milliseconds m_request_timeout{600000};
};

/// One step of a rollout. After the last step every instance applies the bundle.
struct rollout_step
{
    /// Failure domains that apply the bundle from this step on.
    std::vector<std::string> m_failure_domains;
};

/// One version of the whole configuration of the fleet.
struct bundle
{
    std::uint64_t m_version = 0; ///< Increases by one with each accepted bundle.
    std::vector<region> m_regions;
    std::vector<workspace> m_workspaces;    ///< Sorted by name.
    std::vector<key_entry> m_keys;          ///< Grouped by workspace, in the order of m_workspaces.
    std::vector<std::string> m_open_routes; ///< Paths served without an API key.
    std::vector<model> m_models;
    std::vector<upstream> m_upstreams;
    std::vector<service_route> m_service_routes;
    limits m_limits;
    std::vector<rollout_step> m_rollout; ///< Steps of this bundle's rollout.

    /// Memory used in bytes, including heap allocations.
    std::size_t memory_bytes() const noexcept;

    /// Whether the path is served without an API key.
    bool is_open_route(std::string_view path) const noexcept;
};

/// Parses and validates a bundle document. Throws bundle_error if it is invalid.
bundle parse_bundle(std::string_view text);

/// Serializes a bundle to its document. Deterministic: equal bundles give the same bytes.
std::string serialize(const bundle& from);

/// Throws bundle_error unless `next` is a valid successor of `current`: its version is one higher
/// and no withdrawn key is active again.
void check_successor(const bundle& current, const bundle& next);

} // namespace tarragontrail::config
