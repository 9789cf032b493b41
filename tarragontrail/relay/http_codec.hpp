#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/relay/caller_request.hpp"
#include "tarragontrail/relay/upstream_record.hpp"
#include "tarragontrail/relay/upstream_terms.hpp"

#include <optional>
#include <string>

namespace tarragontrail::relay {

/// What an instance tells of a request that it passes on to another one.
struct passed_request_metadata
{
    std::chrono::milliseconds m_time_left{};    ///< Time until the caller stops waiting.
    std::uint64_t m_earlier_runs = 0;           ///< Attempts that may have executed it.
    std::chrono::milliseconds m_earlier_wait{}; ///< Longest time that it may have waited here.
    /// Longest time for which callers of its route were seen to wait; empty when none was.
    std::optional<std::chrono::milliseconds> m_longest_wait;
};

/// Metadata that this project adds to a request before it is sent to an upstream.
struct upstream_request_metadata
{
    const upstream_record* m_upstream = nullptr; ///< The only upstream that may run the request.
    std::chrono::milliseconds m_time_left{};     ///< Time until the caller stops waiting.
    std::string m_workspace;                     ///< Empty for none.
    std::optional<std::uint64_t> m_priority;     ///< Zero is the most urgent.
    std::optional<placement::weights_version> m_version; ///< Weights that the request must run on.
    std::string m_cache_salt; ///< Separates cached parts; see cache_salt.
    /// Engine or cache store that holds cached parts of the prompt.
    std::optional<net::tcp::endpoint> m_fetch_from;
    /// Cache store that the computed parts are saved to.
    std::optional<net::tcp::endpoint> m_save_to;
    std::optional<std::uint64_t> m_resume_after; ///< Id of the event after which a stream resumes.
};

/// Which request a response names.
enum class named_request
{
    own,   ///< The one that was sent.
    other, ///< Another one.
    none,  ///< It names no request.
};

/// Metadata of an upstream's response.
struct response_metadata
{
    unsigned m_status = 0;
    named_request m_names = named_request::none;
    std::string m_named_id;    ///< Beginning of the id that it names, for logs.
    bool m_is_refusal = false; ///< It says, proven or not, that its request was not executed.
    bool m_authentic = false;  ///< The response belongs to the request and was sent by an upstream.
    bool m_not_executed = false; ///< The upstream says that it did not execute the request.
    /// It says that it is not the upstream, or has not the weights, that the request names.
    bool m_misdirected = false;
    bool m_wrong_upstream = false;  ///< Misdirected, and another upstream answered.
    bool m_is_event_stream = false; ///< The body is a stream of events.
    std::optional<placement::weights_version> m_version; ///< Weights that the request ran on.
    upstream_notice m_notice; ///< What the upstream says of itself; only of an authentic response.
};

/// Name, for logs and metrics, of what a response is that is not authentic.
const char* kind_of_unproven(const response_metadata& response) noexcept;

/// Why the relay ends a request itself.
enum class refusal_reason
{
    malformed,       ///< The request cannot be parsed.
    no_route,        ///< No route matches.
    unknown_key,     ///< The key belongs to no workspace.
    not_ready,       ///< No configuration is in force, or only one that is known to be older.
    outdated,        ///< Not allowed by a configuration that may be outdated.
    over_limit,      ///< The workspace's rate and burst are used up.
    overloaded,      ///< It cannot be served in time.
    no_upstream,     ///< No upstream is available.
    version_unknown, ///< The version at which its stream began, or is to begin, cannot be told.
    leaving,         ///< This instance shuts down before the request could be served.
    quarantined,     ///< Upstreams that executed it, or a part of its prompt, have crashed.
    suspected,       ///< A part of its prompt is suspected of crashing upstreams.
    not_run_in_time, ///< Its deadline has passed and it was not executed.
    outcome_unknown, ///< It was sent and the response was lost.
    timed_out,       ///< It was sent and no response arrived in time.
};

/// Name of a reason in responses, logs and metrics.
const char* to_string(refusal_reason reason) noexcept;

/// Whether the reason guarantees that the request was not and will not be executed.
bool guarantees_not_executed(refusal_reason reason) noexcept;

/// Whether callers take the status for the promise that the request was not executed and will not
/// be.
bool is_promise(unsigned status) noexcept;

/// Response of the relay itself, without an upstream's response.
struct refusal
{
    refusal_reason m_reason{};
    std::optional<core::duration> m_retry_after; ///< Delay after which the caller should retry.
    std::string m_request_id;                    ///< Empty when the request could not be parsed.
    bool m_to_instance = false; ///< It goes to the instance that passed the request on.
};

/// Thrown when a caller's request cannot be parsed.
class request_error : public core::error
{
public:
    using core::error::error;
};

/// Translates between the relay's types and the platform's HTTP messages.
class http_codec
{
public:
    virtual ~http_codec() = default;

    /// Parses a caller's request; throws request_error.
    virtual caller_request decode(net::http_request message) const = 0;

    /// Parses a request that another instance passes on; throws request_error.
    virtual caller_request decode_passed_on(net::http_request message) const = 0;

    /// Builds the request that is sent to an upstream.
    virtual net::http_request encode(const caller_request& request,
                                     const upstream_request_metadata& metadata) const = 0;

    /// Builds the request that is passed on to another instance, as its caller sent it, with what
    /// is known of it here.
    virtual net::http_request encode_for_peer(const caller_request& request,
                                              const passed_request_metadata& metadata) const = 0;

    /// Parses the head of an upstream's response.
    virtual response_metadata parse_head(const net::http_response& head,
                                         const caller_request& request,
                                         const upstream_record& upstream) const = 0;

    /// Whether another instance's response proves that the request passed on to it was not
    /// executed there.
    virtual bool proves_not_executed(const net::http_response& head) const = 0;

    /// Builds the head of the response to the caller from an upstream's, without a body.
    virtual net::http_response forward_head(const net::http_response& head) const = 0;

    /// Builds the response for a refused request; one to an instance proves what it promises.
    virtual net::http_response encode(const refusal& refused) const = 0;
};

} // namespace tarragontrail::relay
