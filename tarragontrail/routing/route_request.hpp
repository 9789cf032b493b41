#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/actions.hpp"
#include "tarragontrail/routing/candidate.hpp"
#include "tarragontrail/routing/prefix_chain.hpp"
#include "tarragontrail/routing/prefix_identity.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace tarragontrail::routing {

/// Thrown if an unfinished request has the same id.
class duplicate_request : public core::error
{
public:
    duplicate_request() : core::error("request id is in use") {}
};

/// Request to route. Referenced objects are used during the call only.
struct route_request
{
    core::request_id m_request_id{}; ///< Unique among unfinished requests.
    prefix_identity m_identity;
    const prefix_chain& m_chain; ///< Hash chain of the prompt.
    std::uint64_t m_prompt_tokens = 0;
    std::uint64_t m_max_output_tokens = 0;         ///< Limit of generated tokens.
    core::time_point m_deadline{};                 ///< Caller's deadline.
    std::span<const core::upstream_id> m_excluded; ///< Engines that must not be used.
};

enum class request_stage
{
    free,       ///< The record is unused.
    looking_up, ///< Lookups are pending.
    routed,     ///< An engine is chosen; the request is not sent yet.
    dispatched, ///< The request was sent.
};

/// State of a request in the router until it is finished.
struct request_record
{
    core::request_id m_request_id{};
    request_stage m_stage = request_stage::free;
    prefix_identity m_identity;
    std::vector<std::uint64_t> m_hashes; ///< Hash chain of the prompt.
    std::uint64_t m_prompt_tokens = 0;
    std::uint64_t m_max_output_tokens = 0;       ///< Limit of generated tokens.
    core::time_point m_deadline{};               ///< Caller's deadline.
    std::vector<core::upstream_id> m_excluded;   ///< Engines that must not be used.
    std::uint64_t m_key = 0;                     ///< Rendezvous key.
    std::uint64_t m_anchor_depth = 0;            ///< Depth of the rendezvous key, in pieces.
    std::optional<std::uint64_t> m_previous_key; ///< Key before a recent change of depth.
    std::size_t m_candidates_per_key = 1;
    /// Lookup ids are this plus the round; zero without lookups.
    std::uint64_t m_first_lookup_id = 0;
    candidate_list m_candidates;       ///< Engines compared.
    bool m_timed_out = false;          ///< Whether a lookup timed out.
    core::upstream_id m_engine{};      ///< Engine chosen.
    core::incarnation m_incarnation{}; ///< Incarnation of the engine chosen.
};

} // namespace tarragontrail::routing
