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

/// A request with this id is already being routed or runs.
class duplicate_request : public core::error
{
public:
    duplicate_request() : core::error("request id is in use") {}
};

/// Request to route; the referenced objects need to live during the call only.
struct route_request
{
    core::request_id m_request_id{};               ///< Request, unique among those not finished.
    prefix_identity m_identity;                    ///< Identity of its prompt.
    const prefix_chain& m_chain;                   ///< Chain of its prompt.
    std::uint64_t m_prompt_tokens = 0;             ///< Length of the prompt.
    std::uint64_t m_max_output_tokens = 0;         ///< Most tokens to generate.
    core::time_point m_deadline{};                 ///< Caller's deadline.
    std::span<const core::upstream_id> m_excluded; ///< Engines not to use.
};

/// Progress of a request through the router.
enum class request_stage
{
    free,       ///< The record holds no request.
    looking_up, ///< Lookups are outstanding.
    routed,     ///< An engine is chosen; nothing is sent yet.
    dispatched, ///< The request was sent.
};

/// Request that the router keeps from begin to finish.
struct request_record
{
    core::request_id m_request_id{};             ///< Request.
    request_stage m_stage = request_stage::free; ///< Progress.
    prefix_identity m_identity;                  ///< Identity of its prompt.
    std::vector<std::uint64_t> m_hashes;         ///< Chain of its prompt.
    std::uint64_t m_prompt_tokens = 0;           ///< Length of the prompt.
    std::uint64_t m_max_output_tokens = 0;       ///< Most tokens to generate.
    core::time_point m_deadline{};               ///< Caller's deadline.
    std::vector<core::upstream_id> m_excluded;   ///< Engines not to use.
    std::uint64_t m_key = 0;                     ///< Hashing key.
    std::uint64_t m_anchor_depth = 0;            ///< Pieces in the hashing key.
    std::optional<std::uint64_t> m_previous_key; ///< Key before a change of depth.
    std::size_t m_candidates_per_key = 1;        ///< Hashed candidates for each key.
    std::uint64_t m_first_lookup_id = 0;         ///< Lookup ids are this plus the round.
    candidate_list m_candidates;                 ///< Engines weighed.
    bool m_timed_out = false;                    ///< Whether a watcher did not answer in time.
    core::upstream_id m_engine{};                ///< Engine chosen.
    core::incarnation m_incarnation{};           ///< Its incarnation.
};

} // namespace tarragontrail::routing
