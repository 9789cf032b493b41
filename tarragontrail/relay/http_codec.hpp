#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/relay/caller_request.hpp"
#include "tarragontrail/relay/upstream_record.hpp"

#include <optional>
#include <string>

namespace tarragontrail::relay {

/// What this project adds to a request on its way to an upstream.
struct upstream_request_metadata
{
    const upstream_record* m_upstream = nullptr;         ///< The only one that may run it.
    std::chrono::milliseconds m_time_left{};             ///< Nobody waits any longer.
    std::string m_workspace;                             ///< Workspace; empty for none.
    std::optional<std::uint64_t> m_priority;             ///< Urgency; zero goes first.
    std::optional<placement::weights_version> m_version; ///< Weights that it must run on.
    std::string m_cache_salt;                            ///< Separates cached parts.
    std::optional<net::tcp::endpoint> m_fetch_from;      ///< Where cached parts may be had.
    std::optional<net::tcp::endpoint> m_save_to;         ///< Where parts are kept once read.
    std::optional<std::uint64_t> m_resume_after;         ///< Event after which a stream goes on.
};

/// What the head of an upstream's answer says.
struct response_metadata
{
    unsigned m_status = 0;       ///< Status.
    bool m_authentic = false;    ///< It belongs to the request and comes from the upstream itself.
    bool m_not_executed = false; ///< The upstream did not run the request.
    bool m_misdirected = false;  ///< Another upstream, or other weights, stand at the address.
    bool m_wrong_upstream = false;  ///< Misdirected, and it is another upstream.
    bool m_is_event_stream = false; ///< The body is a stream of events.
    std::optional<placement::weights_version> m_version; ///< Weights that it ran on.
};

/// Why this project ends a request by itself.
enum class refusal_reason
{
    malformed,       ///< The request cannot be read.
    no_route,        ///< No route matches.
    unknown_key,     ///< The key belongs to no workspace.
    not_ready,       ///< No configuration is known yet.
    over_limit,      ///< The workspace's rate and burst are used up.
    overloaded,      ///< It cannot be served in time.
    no_upstream,     ///< No upstream may take it now.
    leaving,         ///< This instance ends before it could be served.
    quarantined,     ///< It crashed the upstreams that ran it.
    not_run_in_time, ///< Its time is over and it was not run.
    outcome_unknown, ///< It was sent, and its answer was lost.
    timed_out,       ///< It was sent, and no answer came in time.
};

/// Text of a reason for logs and metrics.
const char* to_string(refusal_reason reason) noexcept;

/// Whether the reason says that the request has not run and never will.
bool guarantees_not_executed(refusal_reason reason) noexcept;

/// End of a request without an upstream's answer.
struct refusal
{
    refusal_reason m_reason{};                   ///< Why.
    std::optional<core::duration> m_retry_after; ///< When the caller may come back.
    std::string m_request_id;                    ///< Request, when it could be read.
};

/// A request cannot be read.
class request_error : public core::error
{
public:
    using core::error::error;
};

/// Translates requests and answers between this project's types and the names on the wire.
class http_codec
{
public:
    virtual ~http_codec() = default;

    /// Reads a caller's request; throws request_error.
    virtual caller_request decode(const net::http_request& message) const = 0;

    /// Request as an upstream gets it.
    virtual net::http_request encode(const caller_request& request,
                                     const upstream_request_metadata& metadata) const = 0;

    /// Reads the head of an upstream's answer.
    virtual response_metadata parse_head(const net::http_response& head,
                                         const caller_request& request,
                                         const upstream_record& upstream) const = 0;

    /// Head of an upstream's answer as the caller gets it, without a body.
    virtual net::http_response forward_head(const net::http_response& head) const = 0;

    /// Answer that ends a request without an upstream's.
    virtual net::http_response encode(const refusal& refused) const = 0;
};

} // namespace tarragontrail::relay
