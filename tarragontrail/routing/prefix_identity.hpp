#pragma once

#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <string>

namespace tarragontrail::routing {

/// Everything that must be equal for two prompts to share cached blocks.
struct prefix_identity
{
    core::workspace_id m_workspace_id{}; ///< Workspace that owns the prompt.
    core::model_id m_model_id{};         ///< Model that computes the blocks.
    core::adapter_id m_adapter_id{};     ///< Adapter on top of the model.
    std::uint64_t m_weights_version = 0; ///< Version of the weights.

    bool operator==(const prefix_identity&) const = default;
};

/// Root of every hash chain of an identity; different identities have different roots.
std::uint64_t root_of(const prefix_identity& identity) noexcept;

/// The root as engines take it: a decimal string in the request's `cache_salt`.
std::string cache_salt(const prefix_identity& identity);

} // namespace tarragontrail::routing
