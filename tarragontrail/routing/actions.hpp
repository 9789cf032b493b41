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
    cached_prefix,    ///< Its watcher holds part of the prefix.
    predicted_prefix, ///< This instance sent part of the prefix there lately.
    hashed,           ///< Rendezvous hashing alone.
    lookup_timeout,   ///< A watcher did not answer in time; the rest decided.
    load,             ///< Load alone, or other engines of the region are overloaded.
    other_region,     ///< Every engine of this region is overloaded or absent.
    random,           ///< Random policy.
};

/// Why no engine was chosen; in every case the request did not run.
enum class unroutable_reason
{
    no_engine,           ///< No engine serves the model.
    no_weights,          ///< No engine serves the identity's weights version.
    none_ready,          ///< All engines with the weights are leaving or not ready.
    all_excluded,        ///< The request excludes every remaining engine.
    region_budget_spent, ///< Only another region has engines, and the link's budget is spent.
    deadline_passed,     ///< The request's deadline has passed.
};

const char* to_string(route_reason reason) noexcept;
const char* to_string(unroutable_reason reason) noexcept;
const char* to_string(policy_kind kind) noexcept;

/// Sends a lookup to the instance that watches the engine.
struct send_lookup
{
    core::upstream_id m_engine{}; ///< Engine whose watcher is asked.
    lookup_request m_request;     ///< Question.
};

/// Decision: the engine that gets the request, with what a log line needs.
struct routed
{
    core::request_id m_request_id{};         ///< Request.
    core::upstream_id m_engine{};            ///< Engine chosen.
    core::incarnation m_incarnation{};       ///< Incarnation that the decision holds for.
    std::uint64_t m_expected_hit_pieces = 0; ///< Pieces expected in the cache.
    std::uint64_t m_pieces = 0;              ///< Whole pieces of the prompt.
    core::duration m_expected_queue_time{};  ///< Estimated time in the engine's queue.
    route_reason m_reason{};                 ///< Why.
    policy_kind m_policy{};                  ///< Policy that decided.
    std::uint64_t m_candidates = 0;          ///< Engines weighed.
    std::uint64_t m_replies = 0;             ///< Watchers that answered, itself included.
    std::uint64_t m_anchor_depth = 0;        ///< Pieces in the hashing key.
    core::duration m_cost{};                 ///< Cost of the chosen engine.
    core::duration m_prefill_time{};         ///< Prefill time of the pieces not cached.
    core::upstream_id m_runner_up{};         ///< Next best engine; zero if there was none.
    core::duration m_runner_up_cost{};       ///< Its cost.
    core::upstream_id m_transfer_source{};   ///< Engine to copy blocks from; zero for none.
    std::uint64_t m_transfer_pieces = 0;     ///< Pieces to copy.
    std::uint64_t m_link_bytes = 0;          ///< Bytes charged to the link between regions.
};

/// Decision: no engine may take the request; it did not run.
struct unroutable
{
    core::request_id m_request_id{}; ///< Request.
    unroutable_reason m_reason{};    ///< Why.
};

/// Action of the router.
using router_action = std::variant<send_lookup, routed, unroutable>;

/// Asks an engine for a snapshot of its cache, or for the missing batches if it can repeat them.
struct request_snapshot
{
    core::upstream_id m_engine{};      ///< Engine to ask.
    core::incarnation m_incarnation{}; ///< Incarnation as far as known.
    std::uint64_t m_first_missing = 0; ///< First batch not seen.
};

} // namespace tarragontrail::routing
