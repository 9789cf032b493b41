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
    std::string m_name;                         ///< Region's name.
    std::vector<std::string> m_failure_domains; ///< Names, unique over all regions.
};

/// Whether a key may be used.
enum class key_state : std::uint8_t
{
    active,    ///< Accepted.
    withdrawn, ///< Refused for good.
};

/// Key of a workspace; only its digest is known.
struct key_entry
{
    sha256_digest m_digest{};              ///< SHA-256 of the key.
    std::uint32_t m_id = 0;                ///< Operators' number of the key within its workspace.
    std::uint32_t m_workspace = 0;         ///< Index of the owner in bundle::m_workspaces.
    key_state m_state = key_state::active; ///< Whether it may be used.
};

/// Workspace with its rate; its keys are bundle::m_keys[m_first_key, m_first_key + m_key_count).
struct workspace
{
    std::string m_name;                    ///< Unique name.
    core::workspace_id m_id{};             ///< Hash of the name.
    std::uint32_t m_tokens_per_second = 0; ///< Rate over all instances together.
    std::uint32_t m_burst_tokens = 0;      ///< Burst over all instances together.
    std::uint32_t m_first_key = 0;         ///< Index of its first key.
    std::uint16_t m_key_count = 0;         ///< Number of its keys.
    std::uint8_t m_priority = 0;           ///< Engines' priority, 0 (lowest) to 9.
};

/// Model with its weights and adapters.
struct model
{
    std::string m_name;                  ///< Unique name.
    std::string m_weights_version;       ///< Version of the weights to serve.
    std::vector<std::string> m_adapters; ///< Adapters that may be loaded.
    std::uint32_t m_minimum_engines = 0; ///< Engines that must hold it.
};

/// Kind of an upstream.
enum class upstream_kind : std::uint8_t
{
    engine,  ///< Model engine.
    service, ///< Plain service.
};

/// Whether an upstream gets new work.
enum class upstream_state : std::uint8_t
{
    ready,    ///< Gets new work.
    draining, ///< Finishes what it has.
};

/// Model engine or plain service.
struct upstream
{
    std::string m_name;                             ///< Unique name.
    core::upstream_id m_id{};                       ///< Hash of the name.
    upstream_kind m_kind = upstream_kind::engine;   ///< Engine or plain service.
    std::string m_address;                          ///< Numeric address.
    std::uint16_t m_port = 0;                       ///< TCP port.
    std::string m_region;                           ///< Region's name.
    std::string m_failure_domain;                   ///< Failure domain's name.
    std::string m_model;                            ///< Model that it holds at first; may be empty.
    std::string m_weights_version;                  ///< Version of its weights.
    std::vector<std::string> m_adapters;            ///< Adapters that it holds.
    bool m_checks_fence = false;                    ///< Refuses orders with an old fencing number.
    upstream_state m_state = upstream_state::ready; ///< Whether it gets new work.
};

/// Route to plain services.
struct service_route
{
    std::string m_path_prefix;                     ///< Path prefix; the longest match wins.
    std::vector<std::string> m_upstreams;          ///< Names of plain services.
    std::vector<std::string> m_idempotent_methods; ///< HTTP methods that may be repeated.
};

/// Limits that hold for every request.
struct limits
{
    std::uint32_t m_request_bytes = 8 * 1024 * 1024;     ///< Largest request body.
    std::uint32_t m_output_tokens = 8192;                ///< Output tokens when none are asked for.
    std::uint32_t m_queued_requests = 1024;              ///< Queue of one instance.
    std::chrono::milliseconds m_request_timeout{600000}; ///< Deadline when none is given.
};

/// One step of a rollout; after the last step every instance applies the bundle.
struct rollout_step
{
    std::vector<std::string> m_failure_domains; ///< Failure domains that join in this step.
};

/// All configuration of the fleet in one version.
struct bundle
{
    std::uint64_t m_version = 0;                 ///< Grows by one with each accepted bundle.
    std::vector<region> m_regions;               ///< Regions and failure domains.
    std::vector<workspace> m_workspaces;         ///< Sorted by name.
    std::vector<key_entry> m_keys;               ///< Grouped by workspace.
    std::vector<std::string> m_open_routes;      ///< Paths served without a key.
    std::vector<model> m_models;                 ///< Models.
    std::vector<upstream> m_upstreams;           ///< Engines and plain services.
    std::vector<service_route> m_service_routes; ///< Routes to plain services.
    limits m_limits;                             ///< Limits of every request.
    std::vector<rollout_step> m_rollout;         ///< Steps of this bundle's rollout.

    /// Bytes held, heap included.
    std::size_t memory_bytes() const noexcept;

    /// Whether the path is served without a key.
    bool is_open_route(std::string_view path) const noexcept;
};

/// Reads and checks a bundle document; throws bundle_error.
bundle parse_bundle(std::string_view text);

/// Document of a bundle; the same bundle always gives the same bytes.
std::string serialize(const bundle& from);

/// Throws bundle_error unless `next` may follow `current`: the version grows by one and no
/// withdrawn key becomes active.
void check_successor(const bundle& current, const bundle& next);

} // namespace tarragontrail::config
