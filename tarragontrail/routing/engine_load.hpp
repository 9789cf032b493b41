#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/engine_entry.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::routing {

/// Estimates the load of one engine from its last report and from the requests that this instance
/// routed to it since.
class engine_load
{
public:
    /// Processes a report; one older than the last is ignored.
    void on_report(const load_report& report);

    /// Adds a routed request with its prompt tokens that need prefill.
    void on_routed(core::request_id request_id, std::uint64_t tokens, core::time_point now);

    /// Removes the prompt tokens of a request; the request itself still counts as running.
    void on_first_token(core::request_id request_id);

    /// Removes a request; unknown requests are ignored.
    void on_finished(core::request_id request_id);

    /// Clears report and requests, for example after a restart of the engine.
    void clear();

    /// Estimated time until prefill of a prompt sent now would start, from queued tokens and
    /// requests being decoded.
    core::duration queue_time(const load_settings& settings, core::time_point now) const noexcept;

    /// Reported prefill rate in tokens per second, or the default rate if none is known.
    double prefill_rate(const load_settings& settings) const noexcept;

    /// Prompt tokens routed to the engine and not yet prefilled.
    std::int64_t in_flight_tokens() const noexcept { return m_in_flight_tokens; }

    /// Requests routed to the engine and not finished.
    std::size_t in_flight_requests() const noexcept { return m_requests.size(); }

private:
    struct in_flight_request
    {
        core::request_id m_request_id{};
        std::int64_t m_tokens = 0;        ///< Prompt tokens not yet prefilled.
        bool m_newer_than_report = false; ///< Whether it was routed after the last report was made.
        core::time_point m_routed_at{};
    };

    void release_tokens(in_flight_request& request);
    in_flight_request* find(core::request_id request_id) noexcept;

    load_report m_report;    ///< Last report.
    bool m_reported = false; ///< Whether a report was received.
    /// Unfinished requests of this instance at the engine.
    std::vector<in_flight_request> m_requests;
    std::int64_t m_in_flight_tokens = 0; ///< Sum of their m_tokens.
    /// Part of m_in_flight_tokens that the last report does not contain.
    std::int64_t m_unreported_tokens = 0;
    std::int64_t m_unreported_requests = 0; ///< Requests that the last report does not contain.
};

} // namespace tarragontrail::routing
