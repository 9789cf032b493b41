#include "tarragontrail/routing/prefix_identity.hpp"

#include "tarragontrail/core/hash.hpp"

namespace tarragontrail::routing {

std::uint64_t root_of(const prefix_identity& identity) noexcept
{
    std::uint64_t root = core::value_of(identity.m_workspace_id);
    root = core::hash_pair(root, core::value_of(identity.m_model_id));
    root = core::hash_pair(root, core::value_of(identity.m_adapter_id));
    return core::hash_pair(root, identity.m_weights_version);
}

std::string cache_salt(const prefix_identity& identity)
{
    return std::to_string(root_of(identity));
}

} // namespace tarragontrail::routing
