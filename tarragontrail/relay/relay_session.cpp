#include "tarragontrail/relay/relay_session.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/saturating_sum.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace tarragontrail::relay {

relay_session::relay_session(relay_state& state, std::shared_ptr<net::http_exchange> exchange,
                             caller_request request)
    : m_state(state), m_exchange(std::move(exchange)), m_request(std::move(request)),
      m_arrival(core::runtime_clock::now()),
      m_unread_time(state.m_standstill.unread_time(core::suspension_counting_now()) +
                    m_request.m_earlier_wait),
      m_possible_executions(m_request.m_earlier_runs), m_deadline_timer(state.m_context),
      m_overdue_timer(state.m_context), m_retry_timer(state.m_context)
{}

relay_session::~relay_session() = default;

void relay_session::start()
{
    m_state.m_sessions.insert(shared_from_this());
    m_exchange->on_client_gone([weak = weak_from_this()](net::close_cause cause) {
        if (const auto self = weak.lock())
        {
            self->run_guarded("client_gone", [&self, cause] { self->on_client_gone(cause); });
        }
    });
    m_routes = m_state.m_routes;
    if (!m_routes || !m_state.m_freshness.may_serve(core::suspension_counting_now()))
    {
        refuse(refusal_reason::not_ready, m_state.m_session_settings.m_not_ready_retry_after);
        return;
    }
    m_route = m_routes->find(m_request.m_host, m_request.m_path);
    if (m_route == nullptr)
    {
        deny(refusal_reason::no_route);
        return;
    }
    if (!authorize())
    {
        return;
    }
    const auto named = m_request.m_time_left ? m_request.m_time_left : m_request.m_deadline;
    const std::chrono::milliseconds caller_timeout =
        named.value_or(m_state.m_session_settings.m_default_deadline);
    const std::chrono::milliseconds timeout = m_route->m_timeout.count() > 0
                                                  ? std::min(caller_timeout, m_route->m_timeout)
                                                  : caller_timeout;
    m_deadline = m_arrival + timeout - m_state.m_session_settings.m_response_margin;
    m_priority = m_workspace != nullptr && m_workspace->m_priority ? *m_workspace->m_priority
                                                                   : m_route->m_priority;
    if (m_state.m_drain && !m_state.m_drain->accepts(m_arrival, m_deadline))
    {
        refuse(refusal_reason::leaving, core::duration::zero());
        return;
    }
    if (!charge_rate_limit())
    {
        return;
    }
    identify_stream();
    build_prompt_profile();
    if (!m_state.m_quarantines_known)
    {
        refuse(refusal_reason::not_ready, m_state.m_session_settings.m_not_ready_retry_after);
        return;
    }
    start_timer(m_deadline_timer, m_deadline, &relay_session::on_deadline);
    dispatch();
}

/// Chooses the request's service. The parts of a stream that may be resumed have one service and
/// one identity, which are those of the attempt that brought its first event.
void relay_session::identify_stream()
{
    const auto& taken_up = m_request.m_taken_up;
    const bool is_named = !taken_up || !taken_up->m_first_attempt.empty();
    if (m_route->is_resumable_stream() && is_named)
    {
        m_stream = core::id_of<stream_id>(taken_up ? taken_up->m_first_attempt : m_request.m_id);
    }
    if (m_route->is_resumable_stream() && taken_up)
    {
        m_last_event_id = taken_up->m_last_event;
    }
    const std::uint64_t draw = m_stream ? core::value_of(*m_stream) : m_state.m_random();
    m_service = choose_target(*m_route, draw).m_service;
    if (!taken_up && m_request.m_deadline)
    {
        std::chrono::milliseconds& longest = m_state.m_longest_deadlines[m_route->m_name];
        longest = std::max(longest, *m_request.m_deadline);
    }
}

/// Finds the workspace of the request's key; refuses the request when the route needs a valid key.
bool relay_session::authorize()
{
    if (!m_routes->needs_keys())
    {
        return true;
    }
    m_workspace = m_request.m_key.empty() ? nullptr : m_routes->workspace_of(m_request.m_key);
    if (m_workspace == nullptr && !m_route->m_public)
    {
        deny(refusal_reason::unknown_key);
        return false;
    }
    return true;
}

/// Refuses a request that the configuration in force does not allow; a newer one may allow it where
/// this one may be outdated.
void relay_session::deny(refusal_reason reason)
{
    const core::time_point now = core::suspension_counting_now();
    const configuration_origin& origin = m_state.m_configuration_origin;
    const auto age = m_state.m_freshness.age(now);
    observe::log("denied", {{"request", m_request.m_id},
                            {"reason", to_string(reason)},
                            {"host", m_request.m_host},
                            {"config", m_routes->config().m_version},
                            {"row", origin.m_row.m_number},
                            {"source", to_string(origin.m_source)},
                            {"standing", to_string(m_state.m_freshness.standing(now))},
                            {"age_ms", age ? rounded_milliseconds(*age) : "unknown"}});
    if (!m_state.m_freshness.may_deny(now))
    {
        refuse(refusal_reason::outdated, m_state.m_session_settings.m_not_ready_retry_after);
        return;
    }
    refuse(reason);
}

/// Charges the request to its workspace's rate limit; refuses it when the limit is used up.
bool relay_session::charge_rate_limit()
{
    if (m_workspace == nullptr || m_workspace->m_rate == 0)
    {
        return true;
    }
    m_charged_units = 1;
    if (m_workspace->m_counts_tokens)
    {
        m_charged_units =
            static_cast<double>(m_request.m_charged_tokens.value_or(m_workspace->m_default_tokens));
    }
    const auto workspace = core::id_of<core::workspace_id>(m_workspace->m_name);
    const auto wait = m_state.m_limits.try_consume(workspace, m_charged_units, m_arrival);
    if (wait)
    {
        observe::log(
            "limited",
            {{"request", m_request.m_id},
             {"workspace", m_workspace->m_name},
             {"units", m_charged_units},
             {"share", fmt::format("{:.3f}", m_state.m_limits.share_of(workspace, m_arrival))},
             {"wait_ms", rounded_milliseconds(*wait)}});
        m_charged_units = 0;
        const core::duration retry_after =
            std::max<core::duration>(*wait, std::chrono::milliseconds(50));
        refuse(refusal_reason::over_limit, retry_after);
        return false;
    }
    return true;
}

/// Identifier that separates the cached parts of an isolated workspace; zero for workspaces that
/// share them.
std::uint64_t relay_session::cache_isolation_id() const
{
    const bool isolated = m_workspace != nullptr && m_workspace->m_isolated;
    return isolated ? core::hash_name(m_workspace->m_name) : 0;
}

/// Describes the prompt by the parts that engines can share; an isolated workspace shares none with
/// others.
void relay_session::build_prompt_profile()
{
    if (!m_request.m_prompt)
    {
        return;
    }
    const prompt_description& description = *m_request.m_prompt;
    const std::uint64_t isolation_id = cache_isolation_id();
    m_prompt.emplace();
    m_prompt->m_model = description.m_model;
    m_prompt->m_output_tokens = description.m_output_tokens;
    const std::uint64_t model = core::hash_name(description.m_model);
    std::uint64_t shared_tokens = 0;
    for (std::size_t i = 0; i + 1 < description.m_parts.size(); ++i)
    {
        m_prompt->m_shared.push_back(core::hash_pair(description.m_parts[i].m_id, isolation_id));
        m_prompt->m_shared_tokens.push_back(description.m_parts[i].m_tokens);
        m_part_ids.push_back(core::hash_pair(description.m_parts[i].m_id, model));
        shared_tokens = core::saturating_sum(shared_tokens, description.m_parts[i].m_tokens);
    }
    m_prompt->m_unshared_tokens = description.m_input_tokens > shared_tokens
                                      ? description.m_input_tokens - shared_tokens
                                      : description.m_input_tokens;
}

} // namespace tarragontrail::relay
