#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace tarragontrail::ctl {

/// Edits of a bundle's document; each throws usage_error when the bundle does not allow it.
///
/// None of them raises the version: `finish_edit` does, and checks the whole.

/// Rate and burst of a workspace.
struct workspace_limit
{
    std::uint64_t m_tokens_per_second = 0; ///< Rate over all instances together.
    std::uint64_t m_burst_tokens = 0;      ///< Burst over all instances together.
};

/// Engine or plain service as an operator declares it.
struct upstream_entry
{
    std::string m_name;            ///< Unique name.
    std::string m_kind;            ///< "engine" or "service".
    std::string m_address;         ///< Numeric address.
    std::uint64_t m_port = 0;      ///< TCP port.
    std::string m_region;          ///< Region's name.
    std::string m_failure_domain;  ///< Failure domain's name.
    std::string m_model;           ///< Model of an engine; empty for a plain service.
    std::string m_weights_version; ///< Version of its weights; empty for a plain service.
    bool m_checks_fence = false;   ///< Refuses orders with an old fencing number.
};

/// Adds a workspace without keys.
void add_workspace(nlohmann::json& document, const std::string& name, std::uint64_t priority,
                   const workspace_limit& limit);

/// Sets a workspace's rate and burst.
void set_workspace_limit(nlohmann::json& document, const std::string& name,
                         const workspace_limit& limit);

/// Removes a workspace with its keys.
void remove_workspace(nlohmann::json& document, const std::string& name);

/// Entry of a new key of a workspace: digest, next free number, active.
nlohmann::json make_key_entry(const nlohmann::json& document, const std::string& workspace,
                              const std::string& digest);

/// Adds a key by its digest to a workspace.
void add_key(nlohmann::json& document, const std::string& workspace, const std::string& digest);

/// Name of the workspace that has the key; empty when none has.
std::string workspace_of_key(const nlohmann::json& document, const std::string& digest);

/// Serves a path without a key.
void open_route(nlohmann::json& document, const std::string& path);

/// Serves a path with a key only.
void close_route(nlohmann::json& document, const std::string& path);

/// Adds an upstream that takes new work.
void add_upstream(nlohmann::json& document, const upstream_entry& entry);

/// Sets whether an upstream gets new work.
void set_upstream_state(nlohmann::json& document, const std::string& name, bool ready);

/// Removes an upstream, also from the service routes that name it.
void remove_upstream(nlohmann::json& document, const std::string& name);

/// Raises the version by one and returns the checked document in its normal form.
std::string finish_edit(const nlohmann::json& current, nlohmann::json edited);

} // namespace tarragontrail::ctl
