#include "tarragontrail/routing/engine_load.hpp"

#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/routing/transfer_choice.hpp"

#include <algorithm>

namespace tarragontrail::routing {

void engine_load::on_report(const load_report& report)
{
    if (m_reported && report.m_reported_at < m_report.m_reported_at)
    {
        return;
    }
    m_report = report;
    m_reported = true;

    // Requests routed before the time of the report are contained in its figures.
    m_unreported_tokens = 0;
    m_unreported_requests = 0;
    for (in_flight_request& request : m_requests)
    {
        request.m_newer_than_report = request.m_routed_at >= report.m_reported_at;
        m_unreported_tokens += request.m_newer_than_report ? request.m_tokens : 0;
        m_unreported_requests += request.m_newer_than_report ? 1 : 0;
    }
}

void engine_load::on_routed(core::request_id request_id, std::uint64_t tokens, core::time_point now)
{
    const auto charged = static_cast<std::int64_t>(tokens);
    m_requests.push_back({request_id, charged, true, now});
    m_in_flight_tokens += charged;
    m_unreported_tokens += charged;
    ++m_unreported_requests;
}

void engine_load::on_first_token(core::request_id request_id)
{
    in_flight_request* const request = find(request_id);
    if (request != nullptr)
    {
        release_tokens(*request);
    }
}

void engine_load::on_finished(core::request_id request_id)
{
    in_flight_request* const request = find(request_id);
    if (request == nullptr)
    {
        return;
    }
    release_tokens(*request);
    m_unreported_requests -= request->m_newer_than_report ? 1 : 0;
    *request = m_requests.back();
    m_requests.pop_back();
    const bool all_zero =
        m_in_flight_tokens == 0 && m_unreported_tokens == 0 && m_unreported_requests == 0;
    TARRAGONTRAIL_INVARIANT(!m_requests.empty() || all_zero, "account_returns_to_zero");
}

void engine_load::clear()
{
    m_requests.clear();
    m_in_flight_tokens = 0;
    m_unreported_tokens = 0;
    m_unreported_requests = 0;
    m_report = {};
    m_reported = false;
}

core::duration engine_load::queue_time(const load_settings& settings,
                                       core::time_point now) const noexcept
{
    // The engine has reduced the reported queue at the prefill rate since the report.
    const double rate = prefill_rate(settings);
    const double age =
        std::max(0.0, std::chrono::duration<double>(now - m_report.m_reported_at).count());
    const double reported =
        m_reported ? std::max(0.0, static_cast<double>(m_report.m_queued_tokens) - rate * age)
                   : 0.0;
    const auto tokens = reported + static_cast<double>(m_unreported_tokens);

    // Each request being decoded takes part of every engine step, which slows prefill down.
    const std::int64_t running =
        static_cast<std::int64_t>(m_report.m_running) + m_unreported_requests;
    return prefill_time(static_cast<std::uint64_t>(tokens), rate) +
           settings.m_running_delay * running;
}

double engine_load::prefill_rate(const load_settings& settings) const noexcept
{
    // A report from an idle engine may show a rate near zero, so the rate has a lower bound.
    const double fallback = std::max(settings.m_prefill_tokens_per_second, 1.0);
    const double reported = m_report.m_prefill_tokens_per_second;
    return reported > 0 ? std::max(reported, fallback * settings.m_min_rate_fraction) : fallback;
}

void engine_load::release_tokens(in_flight_request& request)
{
    m_in_flight_tokens -= request.m_tokens;
    m_unreported_tokens -= request.m_newer_than_report ? request.m_tokens : 0;
    request.m_tokens = 0;
    TARRAGONTRAIL_INVARIANT(m_in_flight_tokens >= 0, "account_not_negative");
    TARRAGONTRAIL_INVARIANT(m_unreported_tokens >= 0, "unreported_account_not_negative");
}

engine_load::in_flight_request* engine_load::find(core::request_id request_id) noexcept
{
    for (in_flight_request& request : m_requests)
    {
        if (request.m_request_id == request_id)
        {
            return &request;
        }
    }
    return nullptr;
}

} // namespace tarragontrail::routing
