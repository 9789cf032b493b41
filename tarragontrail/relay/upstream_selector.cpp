#include "tarragontrail/relay/upstream_selector.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/saturating_sum.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Upper bound of a random cost added to each upstream, so that instances with the same view do not
/// all select the same one.
constexpr std::chrono::microseconds tie_break_spread{2'000};

/// Transfer time of cached parts, relative to a transfer within one failure domain.
template <class From>
double transfer_factor(const From& from, const upstream_record& to)
{
    if (from.m_failure_domain == to.m_failure_domain)
    {
        return 1.0;
    }
    return from.m_region == to.m_region ? 2.0 : 10.0;
}

core::duration milliseconds_of(double count)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(count));
}

} // namespace

upstream_selector::upstream_selector(upstream_selector_settings settings, locality own_locality,
                                     std::uint64_t seed)
    : m_settings(settings), m_own_locality(std::move(own_locality)), m_random(seed)
{}

part_key upstream_selector::versioned_part_key(std::uint64_t part,
                                               placement::weights_version version) noexcept
{
    return core::hash_pair(part, static_cast<std::uint64_t>(version));
}

std::optional<selection> upstream_selector::choose(const upstream_table& table,
                                                   const cached_part_index& parts,
                                                   const selection_request& request,
                                                   core::time_point now)
{
    std::optional<evaluated_upstream> best;
    std::size_t evaluated_count = 0;
    for (const auto& candidate : table.of_service(*request.m_service))
    {
        const eligibility candidate_eligibility = eligibility_of(*candidate, request, now);
        if (candidate_eligibility == eligibility::excluded ||
            (best && candidate_eligibility > best->m_eligibility))
        {
            continue;
        }
        evaluated_upstream evaluated = evaluate(table, parts, candidate, request, now);
        evaluated.m_eligibility = candidate_eligibility;
        ++evaluated_count;
        if (best && candidate_eligibility == best->m_eligibility &&
            evaluated.m_cost >= best->m_cost)
        {
            continue;
        }
        best = std::move(evaluated);
    }
    if (!best)
    {
        return std::nullopt;
    }
    best->m_selection.m_candidates = evaluated_count;
    return std::move(best->m_selection);
}

std::optional<core::time_point>
upstream_selector::stale_since(const selection_request& request,
                               std::optional<placement::weights_version> version)
{
    if (request.m_target_weights == nullptr || !version)
    {
        return std::nullopt;
    }
    return request.m_target_weights->stale_since(*version);
}

upstream_selector::eligibility upstream_selector::eligibility_of(const upstream& candidate,
                                                                 const selection_request& request,
                                                                 core::time_point now) const
{
    const std::vector<core::upstream_id>& tried = *request.m_tried;
    if (std::find(tried.begin(), tried.end(), candidate.m_record.m_id) != tried.end() ||
        now < candidate.m_loading_weights_until || !candidate.takes_requests(now))
    {
        return eligibility::excluded;
    }
    if (request.m_software != nullptr && !candidate.surely_runs(*request.m_software))
    {
        return eligibility::excluded;
    }
    if (request.m_prompt != nullptr)
    {
        const auto version = candidate.version_of(request.m_prompt->m_model);
        if (!version)
        {
            return eligibility::excluded;
        }
        const auto stale = stale_since(request, version);
        if (stale && now - *stale > m_settings.m_stale_weights_limit)
        {
            return eligibility::excluded;
        }
    }
    if (candidate.m_leaving_since)
    {
        return now - *candidate.m_leaving_since > m_settings.m_leaving_limit
                   ? eligibility::excluded
                   : eligibility::fallback;
    }
    const bool probe_in_flight =
        candidate.m_health.is_on_probation() && candidate.m_load.own().m_in_flight > 0;
    if (!candidate.m_health.allows(now) || probe_in_flight)
    {
        return eligibility::fallback;
    }
    return eligibility::preferred;
}

upstream_selector::evaluated_upstream
upstream_selector::evaluate(const upstream_table& table, const cached_part_index& parts,
                            const std::shared_ptr<upstream>& candidate,
                            const selection_request& request, core::time_point now)
{
    evaluated_upstream evaluated;
    evaluated.m_selection.m_upstream = candidate;
    if (request.m_prompt != nullptr)
    {
        evaluate_engine(evaluated, table, parts, request, now);
    }
    else
    {
        evaluate_plain(evaluated, now);
    }

    const upstream_health& health = candidate->m_health;
    evaluated.m_selection.m_predicted_first_byte =
        core::scaled(evaluated.m_selection.m_predicted_first_byte, health.slowdown(now));
    evaluated.m_cost += evaluated.m_selection.m_predicted_first_byte;
    evaluated.m_cost += network_cost(*candidate, request.m_body_bytes);
    evaluated.m_cost += core::scaled(m_settings.m_failure_cost, health.failure_rate(now));
    evaluated.m_cost += core::scaled(tie_break_spread, m_random.unit());
    return evaluated;
}

void upstream_selector::evaluate_engine(evaluated_upstream& evaluated, const upstream_table& table,
                                        const cached_part_index& parts,
                                        const selection_request& request,
                                        core::time_point now) const
{
    selection& chosen = evaluated.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const prompt_profile& prompt = *request.m_prompt;
    chosen.m_version = candidate.version_of(prompt.m_model);

    const core::duration missing = missing_parts_time(evaluated, table, parts, request, now);
    const core::duration prefill = missing + prefill_time(prompt.m_unshared_tokens);
    const load_totals load = candidate.m_load.total(now);
    chosen.m_work.m_before_first_byte = prefill;
    chosen.m_work.m_tokens = core::saturating_sum(prompt.m_unshared_tokens, prompt.m_output_tokens);
    for (const std::uint64_t tokens : prompt.m_shared_tokens)
    {
        chosen.m_work.m_tokens = core::saturating_sum(chosen.m_work.m_tokens, tokens);
    }

    // Beyond its slots or its memory the upstream queues a request until others have ended.
    chosen.m_predicted_queue_time = load.m_backlog;
    const std::uint64_t slots = std::max<std::uint64_t>(candidate.m_record.m_slots, 1);
    if (load.m_in_flight >= slots)
    {
        const double waves =
            static_cast<double>(load.m_in_flight - slots + 1) / static_cast<double>(slots);
        chosen.m_predicted_queue_time += core::scaled(candidate.m_mean_request_time, waves);
    }
    const std::uint64_t tokens_needed = core::saturating_sum(load.m_tokens, chosen.m_work.m_tokens);
    if (request.m_engine_capacity > 0 && tokens_needed > request.m_engine_capacity)
    {
        const double excess = static_cast<double>(tokens_needed - request.m_engine_capacity) /
                              static_cast<double>(request.m_engine_capacity);
        chosen.m_predicted_queue_time += core::scaled(candidate.m_mean_request_time, excess + 1.0);
    }
    // An engine generates the output of its running streams between prefill chunks, so prefill
    // delays them.
    evaluated.m_cost +=
        core::scaled(chosen.m_predicted_queue_time, m_settings.m_prefill_interference_factor);
    chosen.m_predicted_first_byte =
        chosen.m_predicted_queue_time + prefill + m_settings.m_first_event_overhead;

    const auto stale = stale_since(request, chosen.m_version);
    if (stale && now - *stale > m_settings.m_stale_weights_grace)
    {
        evaluated.m_cost += m_settings.m_stale_weights_cost;
    }
}

void upstream_selector::evaluate_plain(evaluated_upstream& evaluated, core::time_point now) const
{
    selection& chosen = evaluated.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const load_totals load = candidate.m_load.total(now);
    const std::uint64_t slots = std::max<std::uint64_t>(candidate.m_record.m_slots, 1);
    const double utilization = static_cast<double>(load.m_in_flight) / static_cast<double>(slots);
    if (load.m_in_flight >= slots)
    {
        const double waves =
            static_cast<double>(load.m_in_flight - slots + 1) / static_cast<double>(slots);
        chosen.m_predicted_queue_time = core::scaled(candidate.m_mean_request_time, waves);
    }
    chosen.m_predicted_first_byte = chosen.m_predicted_queue_time + candidate.m_mean_request_time;
    chosen.m_work.m_before_first_byte = candidate.m_mean_request_time;
    // Among upstreams with free slots the least utilized one is preferred slightly.
    evaluated.m_cost +=
        core::scaled(candidate.m_mean_request_time, 0.25 * std::min(utilization, 1.0));
}

core::duration upstream_selector::missing_parts_time(evaluated_upstream& evaluated,
                                                     const upstream_table& table,
                                                     const cached_part_index& parts,
                                                     const selection_request& request,
                                                     core::time_point now) const
{
    selection& chosen = evaluated.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const prompt_profile& prompt = *request.m_prompt;
    std::uint64_t missing_tokens = 0;
    std::optional<part_key> last_missing;
    for (std::size_t i = 0; i < prompt.m_shared.size(); ++i)
    {
        const part_key part = versioned_part_key(prompt.m_shared[i], *chosen.m_version);
        const bool affects_routing = prompt.m_shared_tokens[i] >= m_settings.m_min_shared_tokens;
        if (missing_tokens == 0 && (!affects_routing || parts.holds(part, candidate.m_record.m_id)))
        {
            chosen.m_cached_tokens =
                core::saturating_sum(chosen.m_cached_tokens, prompt.m_shared_tokens[i]);
            continue;
        }
        missing_tokens = core::saturating_sum(missing_tokens, prompt.m_shared_tokens[i]);
        last_missing = part;
    }
    if (is_short_prompt(prompt) && request.m_cache_store.m_store != nullptr &&
        request.m_cache_store.m_store->m_region == candidate.m_record.m_region)
    {
        evaluated.m_cost += m_settings.m_short_prompt_near_store_cost;
    }
    if (!last_missing)
    {
        return core::duration::zero();
    }
    if (is_new_part_owner(table, parts, candidate, request, *last_missing))
    {
        evaluated.m_cost -= m_settings.m_new_part_owner_bonus;
    }

    return fastest_part_source(evaluated, table, parts, request, {*last_missing, missing_tokens},
                               now);
}

/// Selects how the engine gets the missing parts: by prefill, from another engine or from the cache
/// store, whichever is fastest.
core::duration upstream_selector::fastest_part_source(
    evaluated_upstream& evaluated, const upstream_table& table, const cached_part_index& parts,
    const selection_request& request, const missing_prefix& missing, core::time_point now) const
{
    selection& chosen = evaluated.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const core::duration prefill = prefill_time(missing.m_tokens);
    core::duration fastest = prefill;
    bool is_held = false;
    for (const core::upstream_id holder_id : parts.holders(missing.m_last_part))
    {
        const auto holder = table.find(holder_id);
        if (!holder || holder == chosen.m_upstream || holder->m_leaving_since ||
            !holder->m_health.allows(now) ||
            holder->version_of(request.m_prompt->m_model) != chosen.m_version)
        {
            continue;
        }
        is_held = true;
        const core::duration fetch =
            m_settings.m_fetch_overhead +
            milliseconds_of(static_cast<double>(missing.m_tokens) * request.m_token_transfer_us *
                            transfer_factor(holder->m_record, candidate.m_record) / 1e3);
        if (fetch < fastest || (!chosen.m_fetch_from && fetch < prefill * 2))
        {
            fastest = fetch;
            chosen.m_fetch_from = holder;
        }
    }
    const cache_store* store = request.m_cache_store.m_store;
    if (store != nullptr && parts.holds(missing.m_last_part, store->m_id))
    {
        is_held = true;
        const core::duration fetch =
            m_settings.m_fetch_overhead +
            milliseconds_of(static_cast<double>(missing.m_tokens) *
                            request.m_cache_store.m_token_transfer_us *
                            transfer_factor(*store, candidate.m_record) / 1e3);
        if (fetch < fastest || (!chosen.m_fetch_from && fetch < prefill * 2))
        {
            fastest = fetch;
            chosen.m_fetch_from.reset();
            chosen.m_fetch_from_store = true;
        }
    }
    else if (store != nullptr && store->m_region == candidate.m_record.m_region)
    {
        chosen.m_save_to_store = true;
        evaluated.m_cost -= is_held ? core::duration::zero() : m_settings.m_near_store_bonus;
    }
    // Each copy evicts parts that will be requested again.
    if (request.m_engine_capacity > 0)
    {
        const double fill_level =
            static_cast<double>(parts.cached_tokens(candidate.m_record.m_id)) /
            static_cast<double>(request.m_engine_capacity);
        evaluated.m_cost += core::scaled(m_settings.m_eviction_cost, fill_level);
    }
    if (is_held)
    {
        evaluated.m_cost += m_settings.m_duplicate_copy_cost;
    }
    if (is_held && !chosen.m_fetch_from && !chosen.m_fetch_from_store)
    {
        evaluated.m_cost += milliseconds_of(m_settings.m_recompute_ms_per_token *
                                            static_cast<double>(missing.m_tokens));
    }
    return fastest;
}

core::duration upstream_selector::network_cost(const upstream& candidate,
                                               std::uint64_t body_bytes) const
{
    const upstream_record& record = candidate.m_record;
    if (record.m_failure_domain == m_own_locality.m_failure_domain)
    {
        return core::duration::zero();
    }
    if (record.m_region == m_own_locality.m_region)
    {
        return m_settings.m_cross_domain_cost;
    }
    return m_settings.m_cross_region_cost +
           milliseconds_of(m_settings.m_cross_region_ms_per_kb * static_cast<double>(body_bytes) /
                           1024.0);
}

bool upstream_selector::is_short_prompt(const prompt_profile& prompt) const
{
    return std::none_of(
        prompt.m_shared_tokens.begin(), prompt.m_shared_tokens.end(),
        [this](std::uint64_t tokens) { return tokens >= m_settings.m_min_shared_tokens; });
}

core::duration upstream_selector::prefill_time(std::uint64_t tokens) const
{
    return milliseconds_of(static_cast<double>(tokens) / m_settings.m_prefill_tokens_per_ms);
}

/// True when the candidate is the engine to which every instance of the region sends the first
/// request with this part. Without an agreed owner, requests that arrive at several instances at
/// once would each compute the part on another engine.
bool upstream_selector::is_new_part_owner(const upstream_table& table,
                                          const cached_part_index& parts, const upstream& candidate,
                                          const selection_request& request, part_key part) const
{
    if (candidate.m_record.m_region != m_own_locality.m_region)
    {
        return false;
    }
    const auto in_region = [&](core::upstream_id holder_id) {
        const auto holder = table.find(holder_id);
        return holder && holder->m_record.m_region == m_own_locality.m_region;
    };
    const auto& holders = parts.holders(part);
    if (std::any_of(holders.begin(), holders.end(), in_region))
    {
        return false;
    }
    const auto score = [part](const upstream& engine) {
        return core::rendezvous_score(part, core::value_of(engine.m_record.m_id));
    };
    const std::uint64_t own_score = score(candidate);
    for (const auto& other : table.of_service(*request.m_service))
    {
        const bool may_own =
            other->m_record.m_region == m_own_locality.m_region && !other->m_leaving_since;
        if (may_own && score(*other) > own_score)
        {
            return false;
        }
    }
    return true;
}

} // namespace tarragontrail::relay
