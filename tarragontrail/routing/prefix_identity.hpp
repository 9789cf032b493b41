#pragma once

#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <string>

namespace tarragontrail::routing {

/// Properties that must be equal for two prompts to share cached blocks.
struct prefix_identity
{
    core::workspace_id m_workspace_id{};
    core::model_id m_model_id{};
    core::adapter_id m_adapter_id{};
    std::uint64_t m_weights_version = 0;

    bool operator==(const prefix_identity&) const = default;
};

/// Start value of the hash chains of an identity; different identities have different roots.
std::uint64_t root_of(const prefix_identity& identity) noexcept;

/// Root as a decimal string, which engines expect in the request's `cache_salt`.
std::string cache_salt(const prefix_identity& identity);

} // namespace tarragontrail::routing
