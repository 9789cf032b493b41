// Chooses the software version that all events of a resumable stream come from.
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"
#include "tarragontrail/relay/relay_session.hpp"

#include <algorithm>

namespace tarragontrail::relay {

/// False when the stream's version cannot be told now; the request is then delayed or refused.
bool relay_session::is_software_chosen(core::time_point now)
{
    if (!m_route->is_resumable_stream() || m_software)
    {
        return true;
    }
    if (m_request.m_taken_up)
    {
        return choose_software_of_taken_up(now);
    }
    m_software = m_state.m_stream_versions.version_of_new(
        m_service, *m_stream, m_state.m_upstreams.software_of(m_service), now);
    if (m_software)
    {
        return true;
    }
    if (now < m_arrival + m_state.m_session_settings.m_max_version_hold)
    {
        ask_for_plans();
        start_timer(m_retry_timer, now + m_state.m_session_settings.m_version_recheck_interval,
                    &relay_session::dispatch);
        return false;
    }
    observe::log("version_not_chosen", {{"request", m_request.m_id}, {"service", m_service}});
    end_without_upstream(refusal_reason::version_unknown,
                         m_state.m_session_settings.m_no_upstream_retry_after);
    return false;
}

void relay_session::ask_for_plans()
{
    if (m_plan_read != plan_read::none || m_state.m_plan_source == nullptr)
    {
        return;
    }
    m_plan_read = plan_read::pending;
    m_plans_asked_at = core::runtime_clock::now();
    m_state.m_plan_source->read_plans([weak = weak_from_this()](bool is_read) {
        const auto self = weak.lock();
        if (!self || self->m_ended || self->m_plan_read != plan_read::pending)
        {
            return;
        }
        self->m_plan_read = is_read ? plan_read::done : plan_read::failed;
        if (self->m_awaits_plans)
        {
            self->start_timer(self->m_retry_timer, core::runtime_clock::now(),
                              &relay_session::dispatch);
        }
    });
}

/// The stream may have begun by a plan that is not known here yet, so the table store is asked.
bool relay_session::is_waiting_for_plans(core::time_point now)
{
    ask_for_plans();
    if (m_plan_read != plan_read::pending)
    {
        return false;
    }
    const core::time_point limit = m_plans_asked_at + m_state.m_session_settings.m_max_version_hold;
    if (now < limit)
    {
        m_awaits_plans = true;
        start_timer(m_retry_timer, limit, &relay_session::dispatch);
        return true;
    }
    m_plan_read = plan_read::failed;
    return false;
}

/// Finds the version at which the stream began; without it the request is refused at once, as
/// events of another version would not fit.
bool relay_session::choose_software_of_taken_up(core::time_point now)
{
    stream_versions& versions = m_state.m_stream_versions;
    const bool is_remembered = m_stream && versions.remembers(m_service, *m_stream, now);
    if (!is_remembered && is_waiting_for_plans(now))
    {
        return false;
    }
    const core::duration max_age = max_stream_age(now);
    const bool is_service_known = m_stream || m_route->m_targets.size() == 1;
    // Where the store does not answer, all other instances must have told what they know since.
    const bool is_confirmed = is_remembered || m_plan_read != plan_read::failed ||
                              m_state.m_plan_source->do_all_confirm(m_arrival);
    const stream_origin origin =
        is_service_known && is_confirmed
            ? versions.origin(m_service, m_stream, m_state.m_upstreams.software_of(m_service),
                              max_age, now)
            : stream_origin{};
    const bool may_learn =
        !(is_confirmed && versions.is_informed(m_service, now)) &&
        now < std::max(m_arrival, m_plans_asked_at) + m_state.m_session_settings.m_max_version_hold;
    if (!origin.m_version && may_learn)
    {
        start_timer(m_retry_timer, now + m_state.m_session_settings.m_version_recheck_interval,
                    &relay_session::dispatch);
        return false;
    }
    const auto contact_age = versions.contact_age(now);
    observe::log("stream_taken_up",
                 {{"request", m_request.m_id},
                  {"first_attempt", m_request.m_taken_up->m_first_attempt},
                  {"service", m_service},
                  {"software", origin.m_version ? origin.m_version->m_name : std::string("none")},
                  {"known_by", to_string(origin.m_evidence)},
                  {"plan", versions.plan_number(m_service)},
                  {"plans_read", m_plan_read == plan_read::done},
                  {"contact_age_ms", contact_age ? rounded_milliseconds(*contact_age) : "unknown"},
                  {"max_age_ms", rounded_milliseconds(max_age)}});
    m_state.m_metrics.count_taken_up_stream(to_string(origin.m_evidence));
    m_software = origin.m_version;
    if (!m_software)
    {
        end_without_upstream(refusal_reason::version_unknown,
                             m_state.m_session_settings.m_no_upstream_retry_after);
        return false;
    }
    return true;
}

/// Longest time since the first event of the stream that the caller takes up: its caller has waited
/// no longer than callers of the route wait. How long it still waits tells nothing of the time
/// before, as it may name a fresh time with each try.
core::duration relay_session::max_stream_age(core::time_point now) const
{
    const auto seen = m_state.m_longest_deadlines.find(m_route->m_name);
    std::chrono::milliseconds longest =
        std::max({m_route->m_timeout, m_state.m_session_settings.m_default_deadline,
                  m_request.m_deadline.value_or(std::chrono::milliseconds(0))});
    if (seen != m_state.m_longest_deadlines.end())
    {
        longest = std::max(longest, seen->second);
    }
    // A caller may name any time.
    constexpr std::chrono::milliseconds longest_counted{60'000};
    return std::min(longest, longest_counted) + m_unread_time + (now - m_arrival);
}

/// The stream has begun: its version is remembered, and told to other instances where they may not
/// be able to tell it.
void relay_session::note_begun_stream(core::time_point now)
{
    // The version of a stream that is taken up was told by others, or by the plan.
    if (!m_stream || !m_software || m_request.m_taken_up)
    {
        return;
    }
    m_state.m_stream_versions.on_begun(m_service, *m_stream, *m_software, now);
    const std::vector<begun_stream> announced = m_state.m_stream_versions.take_announcements();
    if (!announced.empty() && m_state.m_announcer != nullptr)
    {
        m_state.m_announcer->announce_streams(announced);
    }
}

} // namespace tarragontrail::relay
