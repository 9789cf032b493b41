#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/engine_entry.hpp"
#include "tarragontrail/routing/settings.hpp"

#include <cstdint>
#include <vector>

namespace tarragontrail::routing {

/// Load of one engine: its last report, and what this instance sent that the report lacks.
class engine_load
{
public:
    /// Takes in a report; one that is older than the last is ignored.
    void on_report(const load_report& report);

    /// Charges the prompt tokens to prefill of a routed request.
    void on_routed(core::request_id request_id, std::uint64_t tokens, core::time_point now);

    /// Releases the prompt tokens of a request; it still counts as running.
    void on_first_token(core::request_id request_id);

    /// Removes a request; unknown ones are ignored.
    void on_finished(core::request_id request_id);

    /// Forgets report and requests, as after a restart of the engine.
    void clear();

    /// Time until a prompt sent now reaches prefill: queued tokens and requests being decoded.
    core::duration queue_time(const load_settings& settings, core::time_point now) const noexcept;

    /// Prefill rate in tokens per second.
    double prefill_rate(const load_settings& settings) const noexcept;

    /// Prompt tokens charged and not yet prefilled.
    std::int64_t in_flight_tokens() const noexcept { return m_in_flight_tokens; }

    /// Requests charged and not finished.
    std::size_t in_flight_requests() const noexcept { return m_requests.size(); }

private:
    /// Request of this instance at the engine.
    struct in_flight_request
    {
        core::request_id m_request_id{};  ///< Request.
        std::int64_t m_tokens = 0;        ///< Prompt tokens not yet prefilled.
        bool m_newer_than_report = false; ///< Whether the last report was made before it.
        core::time_point m_routed_at{};   ///< When it was routed.
    };

    void release_tokens(in_flight_request& request);
    in_flight_request* find(core::request_id request_id) noexcept;

    load_report m_report;                      ///< Last report.
    bool m_reported = false;                   ///< Whether there was one.
    std::vector<in_flight_request> m_requests; ///< Requests of this instance.
    std::int64_t m_in_flight_tokens = 0;       ///< Sum of their tokens.
    std::int64_t m_unreported_tokens = 0;      ///< Part of the sum that the report lacks.
    std::int64_t m_unreported_requests = 0;    ///< Requests that the report lacks.
};

} // namespace tarragontrail::routing
