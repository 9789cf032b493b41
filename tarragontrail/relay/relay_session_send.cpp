// Selects an upstream for a request and sends it, or refuses it.
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/attempt_listener.hpp"
#include "tarragontrail/relay/cache_salt.hpp"
#include "tarragontrail/relay/log_times.hpp"
#include "tarragontrail/relay/relay_session.hpp"

#include <algorithm>

namespace tarragontrail::relay {

selection_request relay_session::make_selection_request() const
{
    selection_request request;
    request.m_service = &m_service;
    request.m_body_bytes = m_request.m_message.body().size();
    request.m_tried = &m_tried;
    request.m_software = m_software ? &*m_software : nullptr;
    if (!m_prompt)
    {
        return request;
    }
    request.m_prompt = &*m_prompt;
    const auto target = m_state.m_target_weights.find(m_prompt->m_model);
    if (target != m_state.m_target_weights.end())
    {
        request.m_target_weights = &target->second;
    }
    const service* target_service = m_routes->find_service(m_service);
    if (target_service != nullptr && target_service->m_engine &&
        target_service->m_engine->m_link_mbps > 0)
    {
        const engine_traits& traits = *target_service->m_engine;
        request.m_engine_capacity = traits.m_capacity_tokens;
        const double token_bits = static_cast<double>(traits.m_token_bytes) * 8.0;
        request.m_token_transfer_us = token_bits / traits.m_link_mbps;
        const cache_store* store = m_routes->store();
        if (store != nullptr && m_state.m_cache_store_reachable && store->m_link_mbps > 0)
        {
            request.m_cache_store = {store,
                                     token_bits / std::min(store->m_link_mbps, traits.m_link_mbps)};
        }
    }
    return request;
}

void relay_session::dispatch()
{
    const core::time_point now = core::runtime_clock::now();
    m_awaits_plans = false;
    if (is_held_as_suspect(now) || is_held_for_parts(core::upstream_id{}, now) ||
        (m_state.m_reach.is_cut_off(m_service) && pass_on()) || !is_software_chosen(now))
    {
        return;
    }
    const auto chosen = choose_upstream(now);
    if (!chosen)
    {
        end_without_upstream(refusal_reason::no_upstream,
                             m_state.time_to_next_request(m_service).value_or(
                                 m_state.m_session_settings.m_no_upstream_retry_after));
        return;
    }
    if (!admit(*chosen) || is_held_for_parts(chosen->m_upstream->m_record.m_id, now))
    {
        return;
    }
    send(*chosen);
}

/// Chooses the upstream of the next attempt. A suspect goes to one that runs no other suspect, if
/// there is one, so that a crash tells which of them it was.
std::optional<selection> relay_session::choose_upstream(core::time_point now)
{
    m_state.m_upstreams.refill_turns(m_service, m_state.m_turn_order, m_state.shared_time());
    std::vector<core::upstream_id> excluded = m_tried;
    selection_request request = make_selection_request();
    request.m_tried = &excluded;
    auto chosen =
        m_state.m_selector.choose(m_state.m_upstreams, m_state.m_cached_parts, request, now);
    auto alone = chosen;
    while (alone && m_state.m_crash_attribution.check(m_request.m_fingerprint,
                                                      alone->m_upstream->m_record.m_id,
                                                      now) != recovery::dispatch_verdict::allowed)
    {
        excluded.push_back(alone->m_upstream->m_record.m_id);
        alone =
            m_state.m_selector.choose(m_state.m_upstreams, m_state.m_cached_parts, request, now);
    }
    return alone ? alone : chosen;
}

/// True when the request must not be sent now because it is suspected of crashing upstreams; the
/// request is then delayed or ended.
bool relay_session::is_held_as_suspect(core::time_point now)
{
    const auto verdict =
        m_state.m_crash_attribution.check(m_request.m_fingerprint, core::upstream_id{}, now);
    if (verdict == recovery::dispatch_verdict::allowed)
    {
        return false;
    }
    const auto until = m_state.m_crash_attribution.hold_deadline(m_request.m_fingerprint, now);
    const bool before_deadline = until && *until < m_deadline;
    if (verdict == recovery::dispatch_verdict::hold && before_deadline)
    {
        start_timer(m_retry_timer, now + m_state.m_session_settings.m_suspect_recheck_interval,
                    &relay_session::dispatch);
        return true;
    }
    observe::log("suspected",
                 {{"request", m_request.m_id},
                  {"fingerprint", m_request.m_fingerprint},
                  {"quarantined", verdict == recovery::dispatch_verdict::quarantined}});
    end_without_upstream(refusal_reason::quarantined,
                         until ? std::make_optional(*until - now) : std::nullopt);
    return true;
}

/// True when a part of the prompt is suspected of crashing engines, or known to; the request is
/// then delayed or ended.
bool relay_session::is_held_for_parts(core::upstream_id engine, core::time_point now)
{
    if (m_part_ids.empty())
    {
        return false;
    }
    const auto verdict = m_state.m_part_crashes.check(m_part_ids, engine, now);
    if (verdict == recovery::dispatch_verdict::allowed)
    {
        return false;
    }
    if (verdict == recovery::dispatch_verdict::quarantined)
    {
        observe::log("parts_refused", {{"request", m_request.m_id}});
        end_without_upstream(refusal_reason::quarantined,
                             m_state.m_part_crashes.quarantine_time(m_part_ids, now));
        return true;
    }
    const relay_session_settings& settings = m_state.m_session_settings;
    if (!m_held_since)
    {
        m_held_since = now;
        observe::log("parts_held", {{"request", m_request.m_id}});
    }
    if (now >= *m_held_since + settings.m_max_suspect_part_hold)
    {
        end_without_upstream(refusal_reason::suspected, settings.m_suspect_part_retry_after);
        return true;
    }
    start_timer(m_retry_timer, now + settings.m_suspect_part_recheck_interval,
                &relay_session::dispatch);
    return true;
}

/// True when the selected upstream can serve the request in time; otherwise the request is refused.
bool relay_session::admit(const selection& chosen)
{
    const core::time_point now = core::runtime_clock::now();
    admission_request request;
    request.m_predicted_first_byte = chosen.m_predicted_first_byte;
    request.m_predicted_queue_time = chosen.m_predicted_queue_time;
    // The hold was this instance's choice, so it does not make the request too late to be served.
    const core::duration held = m_held_since ? now - *m_held_since : core::duration::zero();
    request.m_objective = m_route->m_target_latency - (now - m_arrival - held);
    request.m_time_left = m_deadline - now;
    request.m_priority = m_priority;
    const admission_decision decision = m_state.m_admission.decide(request);
    if (const auto* refused = std::get_if<refuse_request>(&decision))
    {
        // A request that was sent before has already waited, so it is not refused any more.
        if (m_sends == 0)
        {
            observe::log("refused",
                         {{"request", m_request.m_id},
                          {"best", chosen.m_upstream->m_record.m_name},
                          {"candidates", chosen.m_candidates},
                          {"queued_ms", rounded_milliseconds(chosen.m_predicted_queue_time)},
                          {"first_byte_ms", rounded_milliseconds(chosen.m_predicted_first_byte)},
                          {"objective_ms", rounded_milliseconds(request.m_objective)},
                          {"left_ms", rounded_milliseconds(request.m_time_left)},
                          {"retry_ms", rounded_milliseconds(refused->m_retry_after)}});
            refuse(refusal_reason::overloaded, refused->m_retry_after);
            return false;
        }
        return true;
    }
    m_priority = std::get<admit_request>(decision).m_priority;
    return true;
}

upstream_request_metadata relay_session::make_request_metadata(const selection& chosen) const
{
    upstream_request_metadata metadata;
    metadata.m_upstream = &chosen.m_upstream->m_record;
    metadata.m_time_left = whole_milliseconds(m_deadline - core::runtime_clock::now());
    if (m_workspace != nullptr)
    {
        metadata.m_workspace = m_workspace->m_name;
    }
    metadata.m_resume_after = m_last_event_id;
    if (!chosen.m_version)
    {
        return metadata;
    }
    metadata.m_priority = m_priority;
    metadata.m_version = chosen.m_version;
    metadata.m_cache_salt = to_string(cache_salt{*chosen.m_version, cache_isolation_id()});
    if (chosen.m_fetch_from)
    {
        metadata.m_fetch_from = chosen.m_fetch_from->m_record.m_endpoint;
    }
    const cache_store* store = m_routes->store();
    if (store != nullptr && chosen.m_fetch_from_store)
    {
        metadata.m_fetch_from = store->m_endpoint;
    }
    if (store != nullptr && chosen.m_save_to_store)
    {
        metadata.m_save_to = store->m_endpoint;
    }
    return metadata;
}

/// Forgets what belongs to the attempt before; returns the number of the new one.
std::uint64_t relay_session::begin_attempt()
{
    m_attempt_started = core::runtime_clock::now();
    m_mode = response_mode::none;
    m_framing.reset();
    m_response_end = "none";
    m_first_byte_received = false;
    m_body.clear();
    m_framer.clear();
    m_resumed_after = m_last_event_id;
    m_end_checks = 0;
    m_start_checks = 0;
    m_connection_opened = {};
    m_is_start_proven = false;
    m_is_start_asked = false;
    m_ended_before_proof = false;
    return ++m_attempt;
}

void relay_session::send(const selection& chosen)
{
    m_selection = chosen;
    m_held_since.reset();
    const std::uint64_t attempt = begin_attempt();
    const upstream_record& record = chosen.m_upstream->m_record;
    m_tried.push_back(record.m_id);
    m_asked_start = record.m_started;
    if (chosen.m_upstream->m_turns)
    {
        chosen.m_upstream->m_turns->use_turn();
    }
    chosen.m_upstream->m_load.on_sent(chosen.m_work);
    m_counted_as_load = true;
    m_state.m_crash_attribution.on_dispatched(m_request.m_fingerprint, record.m_id);
    if (!m_part_ids.empty())
    {
        m_part_attempt =
            m_state.m_part_crashes.begin_attempt(m_part_ids, record.m_id, m_attempt_started);
    }
    // The instance that received a request counts it.
    if (m_sends == 0 && !m_request.m_passed_on)
    {
        m_state.budget_of(m_service).on_request();
    }
    record_cached_parts(chosen);

    const load_totals load = chosen.m_upstream->m_load.total(m_attempt_started);
    observe::log(
        "routed",
        {{"request", m_request.m_id},
         {"route", m_route->m_name},
         {"config", m_routes->config().m_version},
         {"attempt", attempt},
         {"upstream", record.m_name},
         {"software", record.m_software.m_name},
         {"plan", m_software ? m_state.m_stream_versions.plan_number(m_service) : 0},
         {"candidates", chosen.m_candidates},
         {"in_flight", load.m_in_flight},
         {"queued_ms", rounded_milliseconds(chosen.m_predicted_queue_time)},
         {"first_byte_ms", rounded_milliseconds(chosen.m_predicted_first_byte)},
         {"part", m_prompt && !m_prompt->m_shared.empty()
                      ? fmt::format("{:08x}", m_prompt->m_shared.back() & 0xffffffffU)
                      : std::string("none")},
         {"tokens", chosen.m_work.m_tokens},
         {"cached", chosen.m_cached_tokens},
         {"fetch", chosen.m_fetch_from ? chosen.m_fetch_from->m_record.m_name
                                       : std::string(chosen.m_fetch_from_store ? "store" : "none")},
         {"save", chosen.m_save_to_store},
         {"weights", chosen.m_version ? static_cast<std::uint64_t>(*chosen.m_version) : 0},
         {"priority", m_priority}});
    m_state.m_metrics.count_decision(
        chosen.m_fetch_from ? "fetch" : (chosen.m_cached_tokens > 0 ? "cached" : "plain"));

    net::call_settings timing;
    const std::chrono::milliseconds time_left = whole_milliseconds(remaining_time());
    timing.m_connect_timeout = std::min(m_state.m_session_settings.m_connect_timeout, time_left);
    // The deadline of the request itself fires first.
    timing.m_first_byte_timeout = time_left + m_state.m_session_settings.m_connect_timeout;
    timing.m_idle_timeout = timing.m_first_byte_timeout;
    timing.m_body_limit_bytes = m_state.m_session_settings.m_response_limit_bytes;
    timing.m_reuse_limit = is_repeatable() ? m_state.m_session_settings.m_reuse_limit
                                           : m_state.m_session_settings.m_unrepeatable_reuse_limit;
    net::http_request message = m_state.m_codec.encode(m_request, make_request_metadata(chosen));
    m_is_outcome_open = true;
    m_call =
        m_state.m_client.start(record.m_endpoint, std::move(message), timing,
                               std::make_shared<attempt_listener>(shared_from_this(), attempt));

    const auto forecast_bound = std::chrono::duration<double>(chosen.m_predicted_first_byte) *
                                m_state.m_session_settings.m_overdue_factor;
    const auto objective_bound = std::chrono::duration<double>(m_route->m_target_latency) *
                                 m_state.m_session_settings.m_overdue_objective_fraction;
    const auto overdue =
        std::chrono::duration_cast<core::duration>(std::max(forecast_bound, objective_bound));
    start_timer(m_overdue_timer, m_attempt_started + overdue, &relay_session::on_overdue);
}

/// Records that the engine holds the request's shared parts from now on, here and at the other
/// instances.
void relay_session::record_cached_parts(const selection& chosen)
{
    if (!m_prompt || !chosen.m_version)
    {
        return;
    }
    const std::uint64_t min_tokens = m_state.m_selector.settings().m_min_shared_tokens;
    const core::upstream_id engine = chosen.m_upstream->m_record.m_id;
    const service* target_service = m_routes->find_service(m_service);
    const std::uint64_t capacity_tokens =
        target_service != nullptr && target_service->m_engine
            ? m_state.m_selector.cache_capacity_tokens(*target_service->m_engine)
            : 0;
    for (std::size_t i = 0; i < m_prompt->m_shared.size(); ++i)
    {
        const std::uint64_t tokens = m_prompt->m_shared_tokens[i];
        if (tokens < min_tokens)
        {
            continue;
        }
        const part_key part =
            upstream_selector::versioned_part_key(m_prompt->m_shared[i], *chosen.m_version);
        m_state.m_cached_parts.record_use(part, engine, tokens, capacity_tokens);
        // Also announced when the engine holds the part already: peers must update its last use.
        if (m_state.m_announcer != nullptr)
        {
            const bool is_last = i + 1 == m_prompt->m_shared.size();
            m_state.m_announcer->announce_part_use(
                {part, engine, tokens,
                 is_last ? chosen.m_work.m_before_first_byte : core::duration::zero()});
        }
        const cache_store* store = m_routes->store();
        if (store == nullptr || !(chosen.m_save_to_store || chosen.m_fetch_from_store))
        {
            continue;
        }
        m_state.m_cached_parts.record_use(part, store->m_id, tokens,
                                          store->assumed_capacity_tokens());
        if (m_state.m_announcer != nullptr)
        {
            m_state.m_announcer->announce_part_use({part, store->m_id, tokens, {}});
        }
    }
}

} // namespace tarragontrail::relay
