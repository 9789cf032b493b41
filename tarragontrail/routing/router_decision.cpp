// Decisions of the router after its lookups were answered or timed out.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/routing/router.hpp"
#include "tarragontrail/routing/transfer_choice.hpp"

#include <algorithm>

namespace tarragontrail::routing {

namespace {

/// Prompt tokens that follow the given number of cached pieces.
std::uint64_t uncached_tokens(std::uint64_t pieces, std::uint64_t prompt_tokens) noexcept
{
    return prompt_tokens - std::min(prompt_tokens, pieces * tokens_per_piece);
}

route_reason reason_of(policy_kind policy, const candidate& chosen, bool timed_out) noexcept
{
    if (chosen.m_origin == candidate_origin::other_region)
    {
        return route_reason::other_region;
    }
    if (policy == policy_kind::random)
    {
        return route_reason::random;
    }
    if (chosen.m_origin == candidate_origin::overflow)
    {
        return route_reason::load;
    }
    if (chosen.m_hit_pieces > 0)
    {
        return chosen.m_predicted ? route_reason::predicted_prefix : route_reason::cached_prefix;
    }
    return timed_out ? route_reason::lookup_timeout : route_reason::hashed;
}

} // namespace

void router::decide(request_record& request, core::time_point now)
{
    m_requests.end_lookups(request);
    const std::optional<unroutable_reason> reason = revalidate_candidates(request, now);
    if (reason.has_value())
    {
        finish_unroutable(request, *reason);
        return;
    }
    for (candidate& item : request.m_candidates.items())
    {
        estimate_candidate(request, item, now);
    }
    for (candidate& item : request.m_candidates.items())
    {
        consider_transfer(request, item);
        compute_cost(item);
    }
    const std::size_t chosen = std::visit(
        [&](const auto& policy) { return policy.choose(request.m_candidates.items(), m_random); },
        m_policy);
    finish_routed(request, request.m_candidates.items()[chosen], now);
}

std::optional<unroutable_reason> router::revalidate_candidates(request_record& request,
                                                               core::time_point now)
{
    if (request.m_deadline <= now)
    {
        return unroutable_reason::deadline_passed;
    }

    // Engines may have left, and the link budget may have been consumed, during the lookups.
    const bool link_available = m_link_budget.can_consume(link_bytes(request), now);
    request.m_candidates.retain([&](const candidate& item) {
        const engine_record* const engine = m_engines.find(item.m_engine);
        const bool eligible =
            engine != nullptr && check_eligibility(*engine, request) == eligibility::eligible;
        return eligible && (link_available || item.m_origin != candidate_origin::other_region);
    });
    if (!request.m_candidates.empty())
    {
        return std::nullopt;
    }
    return select_candidates(request, now);
}

void router::estimate_candidate(const request_record& request, candidate& item,
                                core::time_point now) const
{
    const engine_record& engine = *m_engines.find(item.m_engine);
    const core::incarnation incarnation = engine.m_entry.m_incarnation;

    // A watcher's reply is valid only for the incarnation that it was given for.
    const bool index_valid = item.m_index_complete && item.m_incarnation == incarnation;
    const std::uint64_t cached = index_valid ? item.m_depth_bounds.m_lower : 0;

    // A complete index contains the events of older dispatches, so it overrides predictions older
    // than the event lag.
    const core::duration lifetime = engine.m_block_lifetime > std::chrono::milliseconds::zero()
                                        ? core::duration(engine.m_block_lifetime)
                                        : core::duration(m_settings.m_predicted_lifetime);
    const core::duration max_age =
        index_valid ? std::min<core::duration>(lifetime, m_settings.m_max_event_lag) : lifetime;
    const std::uint64_t predicted =
        m_predicted_blocks.depth(item.m_engine, incarnation, request.m_hashes, max_age, now);

    item.m_index_complete = index_valid;
    item.m_incarnation = incarnation;
    item.m_predicted = predicted > cached;
    item.m_hit_pieces = std::max(cached, predicted);
    item.m_queue_time = engine.m_load.queue_time(m_settings.m_load, now);
    item.m_prefill_time = prefill_time(uncached_tokens(item.m_hit_pieces, request.m_prompt_tokens),
                                       engine.m_load.prefill_rate(m_settings.m_load));
}

void router::consider_transfer(const request_record& request, candidate& item) const
{
    // The source must be in this region, and its watcher must have confirmed the blocks.
    const candidate* source = nullptr;
    for (const candidate& other : request.m_candidates.items())
    {
        if (!other.m_index_complete || other.m_depth_bounds.m_lower <= item.m_hit_pieces ||
            other.m_origin == candidate_origin::other_region)
        {
            continue;
        }
        if (source == nullptr || other.m_depth_bounds.m_lower > source->m_depth_bounds.m_lower)
        {
            source = &other;
        }
    }
    if (source == nullptr || item.m_origin == candidate_origin::other_region)
    {
        return;
    }
    const std::uint64_t pieces = source->m_depth_bounds.m_lower - item.m_hit_pieces;
    const double rate = m_engines.find(item.m_engine)->m_load.prefill_rate(m_settings.m_load);
    const transfer_choice choice = choose_transfer(pieces, rate, m_settings.m_transfer);
    if (choice.m_source == block_source::recompute)
    {
        return;
    }
    item.m_transfer_source = source->m_engine;
    item.m_transfer_pieces = pieces;
    item.m_prefill_time += choice.m_transfer_time - choice.m_recompute_time;
}

void router::compute_cost(candidate& item) const noexcept
{
    const std::chrono::duration<double, core::duration::period> recompute(item.m_prefill_time);
    item.m_cost = item.m_queue_time + std::chrono::duration_cast<core::duration>(
                                          recompute * m_settings.m_recompute_weight);
    if (item.m_origin == candidate_origin::other_region)
    {
        item.m_cost += m_settings.m_region_crossing_cost;
    }
}

void router::finish_routed(request_record& request, const candidate& chosen, core::time_point now)
{
    engine_record& engine = *m_engines.find(chosen.m_engine);
    const engine_entry& entry = engine.m_entry;
    TARRAGONTRAIL_INVARIANT(entry.m_state == engine_state::ready, "no_work_to_leaving_engine");
    TARRAGONTRAIL_INVARIANT(chosen.m_incarnation == entry.m_incarnation,
                            "belief_of_current_incarnation");
    TARRAGONTRAIL_INVARIANT(entry.m_weights_version == request.m_identity.m_weights_version &&
                                entry.m_model_id == request.m_identity.m_model_id,
                            "engine_serves_identity");
    TARRAGONTRAIL_INVARIANT(chosen.m_hit_pieces <= request.m_hashes.size(), "hit_within_chain");

    routed decision = make_routed(request, chosen);
    if (chosen.m_origin == candidate_origin::other_region)
    {
        decision.m_link_bytes = link_bytes(request);
        TARRAGONTRAIL_INVARIANT(m_link_budget.try_consume(decision.m_link_bytes, now),
                                "region_crossing_within_budget");
    }
    engine.m_load.on_routed(request.m_request_id,
                            uncached_tokens(chosen.m_hit_pieces, request.m_prompt_tokens), now);
    request.m_stage = request_stage::routed;
    request.m_engine = chosen.m_engine;
    request.m_incarnation = entry.m_incarnation;
    m_actions.emplace_back(decision);
}

routed router::make_routed(const request_record& request, const candidate& chosen) const noexcept
{
    routed decision;
    decision.m_request_id = request.m_request_id;
    decision.m_engine = chosen.m_engine;
    decision.m_incarnation = chosen.m_incarnation;
    decision.m_expected_hit_pieces = chosen.m_hit_pieces;
    decision.m_pieces = request.m_hashes.size();
    decision.m_expected_queue_time = chosen.m_queue_time;
    decision.m_policy = kind_of(m_policy);
    decision.m_reason = reason_of(decision.m_policy, chosen, request.m_timed_out);
    decision.m_candidates = request.m_candidates.size();
    decision.m_anchor_depth = request.m_anchor_depth;
    decision.m_cost = chosen.m_cost;
    decision.m_prefill_time = chosen.m_prefill_time;
    decision.m_transfer_source = chosen.m_transfer_source;
    decision.m_transfer_pieces = chosen.m_transfer_pieces;
    const candidate* runner_up = nullptr;
    for (const candidate& item : request.m_candidates.items())
    {
        decision.m_replies += item.m_lookup_answered ? 1 : 0;
        const bool better = runner_up == nullptr || item.m_cost < runner_up->m_cost;
        if (&item != &chosen && better)
        {
            runner_up = &item;
        }
    }
    if (runner_up != nullptr)
    {
        decision.m_runner_up = runner_up->m_engine;
        decision.m_runner_up_cost = runner_up->m_cost;
    }
    return decision;
}

void router::finish_unroutable(request_record& request, unroutable_reason reason)
{
    m_actions.emplace_back(unroutable{request.m_request_id, reason});
    m_requests.remove(request);
}

std::uint64_t router::link_bytes(const request_record& request) const noexcept
{
    return request.m_prompt_tokens * bytes_per_token +
           request.m_max_output_tokens * m_settings.m_output_bytes_per_token;
}

} // namespace tarragontrail::routing
