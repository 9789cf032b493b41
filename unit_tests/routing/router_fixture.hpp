#pragma once

#include "tarragontrail/routing/cached_block_index.hpp"
#include "tarragontrail/routing/engine_entry.hpp"
#include "tarragontrail/routing/prefix_chain.hpp"
#include "tarragontrail/routing/router.hpp"

#include <string>

/// Objects shared by the tests of the router.
namespace router_fixture {

using namespace tarragontrail;
using namespace tarragontrail::routing;

inline constexpr core::model_id model{1};
inline constexpr core::region_id local_region{1};
inline constexpr core::region_id remote_region{2};
inline constexpr router_identity router_self{core::instance_id{1}, local_region, 1};

/// Ready engine of the model, at incarnation 1 and weights version 1.
inline engine_entry make_engine(std::uint64_t id, core::region_id region = local_region)
{
    return {core::upstream_id{id}, region, {}, model, engine_state::ready, core::incarnation{1}, 1};
}

struct prompt
{
    prefix_identity m_identity;
    prefix_chain m_chain;
};

inline prompt make_prompt(std::uint64_t workspace, std::uint64_t version, std::size_t pieces,
                          char text)
{
    prompt made;
    made.m_identity = {core::workspace_id{workspace}, model, {}, version};
    made.m_chain.assign(made.m_identity, std::string(pieces * piece_bytes, text));
    return made;
}

/// Index of engine 1 at incarnation 1 that contains the given blocks.
inline cached_block_index make_index(std::span<const std::uint64_t> blocks)
{
    cached_block_index index(core::upstream_id{1}, {});
    index.on_snapshot({core::incarnation{1}, 0, {blocks.begin(), blocks.end()}}, {});
    return index;
}

/// Settings of a simulation: any policy, and budgets small enough to be exhausted.
inline routing_settings random_settings(std::uint64_t seed)
{
    routing_settings settings;
    settings.m_policy = static_cast<policy_kind>(seed % 7 < 5 ? seed % 7 : 4);
    settings.m_region_link_bytes_per_second = 20'000;
    settings.m_region_link_burst_bytes = 400'000;
    settings.m_predicted_blocks = 200;
    settings.m_transfer.m_link_bytes_per_second = seed % 2 == 0 ? 5e9 : 0;
    return settings;
}

} // namespace router_fixture
