#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/messages.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace tarragontrail::routing {

/// Why an engine was chosen.
enum class route_reason
{
    cached_prefix,    ///< A watcher reported that the engine holds part of the prefix.
    predicted_prefix, ///< This instance recently sent part of the prefix to the engine.
    hashed,           ///< Rendezvous hashing alone; no part of the prefix is expected in the cache.
    lookup_timeout,   ///< A lookup timed out; the other information decided.
    load, ///< Load decided: the policy uses nothing else, or the hashed engines are overloaded.
    other_region, ///< Every engine of this region is overloaded or unavailable.
    random,       ///< The random policy chose it.
};

/// Why no engine was chosen. The request was not run in any of these cases.
enum class unroutable_reason
{
    no_engine,           ///< No engine serves the model.
    no_weights,          ///< No engine serves the identity's weights version.
    none_ready,          ///< All engines with these weights are leaving or not ready.
    all_excluded,        ///< The request excludes every remaining engine.
    region_budget_spent, ///< Only other regions have engines, and the budget of the link is
                         ///< exhausted.
    deadline_passed,
};

const char* to_string(route_reason reason) noexcept;
const char* to_string(unroutable_reason reason) noexcept;
const char* to_string(policy_kind kind) noexcept;

/// Action: send a lookup to the instance that watches the engine, its watcher.
struct send_lookup
{
    core::upstream_id m_engine{}; ///< Engine whose watcher receives the lookup.
    lookup_request m_request;
};

/// Action: send the request to the chosen engine. The estimates behind the decision are for log
/// lines.
struct routed
{
    core::request_id m_request_id{};
    core::upstream_id m_engine{};      ///< Engine chosen.
    core::incarnation m_incarnation{}; ///< Incarnation of the engine that the estimates hold for.
    std::uint64_t m_expected_hit_pieces = 0; ///< Pieces expected in the engine's cache.
    std::uint64_t m_pieces = 0;              ///< Complete pieces of the prompt.
    core::duration m_expected_queue_time{};  ///< Estimated time until prefill starts.
    route_reason m_reason{};
    policy_kind m_policy{};
    std::uint64_t m_candidates = 0;   ///< Engines compared.
    std::uint64_t m_replies = 0;      ///< Candidates with a lookup answer, local indexes included.
    std::uint64_t m_anchor_depth = 0; ///< Depth of the rendezvous key, in pieces.
    core::duration m_cost{};          ///< Cost of the chosen engine.
    core::duration m_prefill_time{}; ///< Estimated time to prefill, or to copy, the pieces that are
                                     ///< not cached.
    core::upstream_id m_runner_up{}; ///< Engine with the next lowest cost; zero if there was none.
    core::duration m_runner_up_cost{};
    core::upstream_id m_transfer_source{}; ///< Engine to copy blocks from; zero for none.
    std::uint64_t m_transfer_pieces = 0;   ///< Pieces to copy.
    std::uint64_t m_link_bytes = 0; ///< Bytes consumed from the budget of the link between regions.
};

/// Action: fail the request, which was not run, because no engine may take it.
struct unroutable
{
    core::request_id m_request_id{};
    unroutable_reason m_reason{};
};

using router_action = std::variant<send_lookup, routed, unroutable>;

/// Action: request a snapshot of an engine's cache, or the missing batches if the engine can send
/// them again.
struct request_snapshot
{
    core::upstream_id m_engine{};
    core::incarnation m_incarnation{}; ///< Newest incarnation known to the index.
    std::uint64_t m_first_missing = 0; ///< Sequence number of the first batch not applied.
};

} // namespace tarragontrail::routing
