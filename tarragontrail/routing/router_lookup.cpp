// Candidate selection and cache lookups of the router.
#include "tarragontrail/routing/prefix_probe.hpp"
#include "tarragontrail/routing/router.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::routing {

router::eligibility router::check_eligibility(const engine_record& engine,
                                              const request_record& request) const noexcept
{
    const engine_entry& entry = engine.m_entry;
    if (entry.m_model_id != request.m_identity.m_model_id)
    {
        return eligibility::other_model;
    }
    if (entry.m_weights_version != request.m_identity.m_weights_version)
    {
        return eligibility::other_weights;
    }
    if (entry.m_state != engine_state::ready)
    {
        return eligibility::not_ready;
    }
    const auto& excluded = request.m_excluded;
    if (std::find(excluded.begin(), excluded.end(), entry.m_upstream_id) != excluded.end())
    {
        return eligibility::excluded;
    }
    return eligibility::eligible;
}

std::optional<unroutable_reason> router::collect_eligible_engines(const request_record& request,
                                                                  core::time_point now)
{
    m_eligible.m_local.clear();
    m_eligible.m_remote.clear();
    eligibility best = eligibility::other_model;
    for (const engine_record& engine : m_engines.records())
    {
        const eligibility found = check_eligibility(engine, request);
        best = std::max(best, found);
        if (found != eligibility::eligible)
        {
            continue;
        }
        const bool local = engine.m_entry.m_region_id == m_identity.m_region_id;
        const core::duration queue_time = engine.m_load.queue_time(m_settings.m_load, now);
        (local ? m_eligible.m_local : m_eligible.m_remote)
            .push_back({engine.m_entry.m_upstream_id, queue_time});
    }
    switch (best)
    {
    case eligibility::other_model:
        return unroutable_reason::no_engine;
    case eligibility::other_weights:
        return unroutable_reason::no_weights;
    case eligibility::not_ready:
        return unroutable_reason::none_ready;
    case eligibility::excluded:
        return unroutable_reason::all_excluded;
    case eligibility::eligible:
        break;
    }
    return std::nullopt;
}

bool router::other_regions_allowed(const request_record& request,
                                   core::time_point now) const noexcept
{
    for (const eligible_engine& engine : m_eligible.m_local)
    {
        if (engine.m_queue_time <= m_settings.m_region_overload_wait)
        {
            return false;
        }
    }
    return m_link_budget.can_consume(link_bytes(request), now);
}

std::size_t router::candidate_count_at(double rate) const noexcept
{
    const double more = m_settings.m_hot_requests_per_second > 0
                            ? std::floor(rate / m_settings.m_hot_requests_per_second)
                            : 0.0;
    const double wanted = static_cast<double>(m_settings.m_candidates_per_key) * (1.0 + more);
    return static_cast<std::size_t>(std::min(wanted, static_cast<double>(max_candidates)));
}

std::optional<unroutable_reason> router::select_candidates(request_record& request,
                                                           core::time_point now)
{
    if (request.m_deadline <= now)
    {
        return unroutable_reason::deadline_passed;
    }
    const std::optional<unroutable_reason> reason = collect_eligible_engines(request, now);
    if (reason.has_value())
    {
        return reason;
    }

    selection_input input;
    input.m_local = m_eligible.m_local;
    input.m_key = request.m_key;
    input.m_previous_key = request.m_previous_key;
    input.m_candidates_per_key = request.m_candidates_per_key;
    if (other_regions_allowed(request, now))
    {
        input.m_remote = m_eligible.m_remote;
    }
    request.m_candidates.clear();
    std::visit([&](const auto& policy) { policy.select(input, request.m_candidates, m_random); },
               m_policy);
    if (request.m_candidates.empty())
    {
        return unroutable_reason::region_budget_spent;
    }
    return std::nullopt;
}

void router::look_up_cached_depths(request_record& request, core::time_point now)
{
    const bool uses_depths =
        std::visit([](const auto& policy) { return policy.m_uses_cached_depths; }, m_policy);
    const bool lookups_needed =
        uses_depths && !request.m_hashes.empty() && m_settings.m_lookup_rounds > 0;
    bool started = false;
    for (candidate& item : request.m_candidates.items())
    {
        // A watcher in another region would reply too late.
        if (!lookups_needed || item.m_origin == candidate_origin::other_region)
        {
            continue;
        }
        // With a single candidate, the reply would not change the decision.
        if (look_up_locally(request, item) || request.m_candidates.size() == 1)
        {
            continue;
        }
        if (!started)
        {
            m_requests.start_lookups(request, now + m_settings.m_lookup_timeout);
            started = true;
        }
        send_next_lookup(request, item);
    }
    if (!started)
    {
        decide(request, now);
    }
}

bool router::look_up_locally(const request_record& request, candidate& item)
{
    const cached_block_index* const* const local =
        m_local_indexes.find(core::value_of(item.m_engine));
    if (local == nullptr)
    {
        return false;
    }
    const cached_block_index* const index = *local;
    m_engines.on_incarnation(item.m_engine, index->incarnation());
    const std::uint64_t depth = index->depth(request.m_hashes);
    item.m_lookup_answered = true;
    item.m_index_complete = index->is_complete();
    item.m_incarnation = index->incarnation();
    item.m_depth_bounds = {depth, depth};
    update_block_lifetime(item.m_engine, index->block_lifetime());
    return true;
}

void router::send_next_lookup(const request_record& request, candidate& item)
{
    lookup_request lookup;
    lookup.m_lookup_id = request.m_first_lookup_id + item.m_lookup_round;
    lookup.m_engine = item.m_engine;
    lookup.m_incarnation = m_engines.find(item.m_engine)->m_entry.m_incarnation;
    if (item.m_lookup_round == 0)
    {
        fill_initial_probe(request.m_hashes, lookup);
    }
    else
    {
        fill_refining_probe(request.m_hashes, item.m_depth_bounds, lookup);
    }
    item.m_lookup_pending = true;
    m_actions.emplace_back(send_lookup{item.m_engine, std::move(lookup)});
}

void router::handle_lookup_reply(const request_record& request, candidate& item,
                                 const lookup_reply& reply)
{
    item.m_lookup_pending = false;
    item.m_lookup_answered = true;
    m_engines.on_incarnation(item.m_engine, reply.m_incarnation);
    update_block_lifetime(item.m_engine, reply.m_block_lifetime);
    // A depth of an older incarnation must not be used in the next lookup.
    const engine_record* const engine = m_engines.find(item.m_engine);
    const bool current = engine != nullptr && engine->m_entry.m_incarnation == reply.m_incarnation;
    const bool usable = current && reply.m_known && reply.m_depth_lower <= reply.m_depth_upper &&
                        reply.m_depth_upper <= request.m_hashes.size();
    item.m_index_complete = usable;
    if (!usable)
    {
        return;
    }
    item.m_incarnation = reply.m_incarnation;
    item.m_depth_bounds = {reply.m_depth_lower, reply.m_depth_upper};

    // Sends another lookup only if the bounds are far apart.
    const std::uint64_t width = reply.m_depth_upper - reply.m_depth_lower;
    if (width < m_settings.m_refine_pieces || width == 0 ||
        item.m_lookup_round + 1 >= m_settings.m_lookup_rounds)
    {
        return;
    }
    ++item.m_lookup_round;
    send_next_lookup(request, item);
}

bool router::has_pending_lookups(const request_record& request) noexcept
{
    const auto items = request.m_candidates.items();
    return std::any_of(items.begin(), items.end(),
                       [](const candidate& item) { return item.m_lookup_pending; });
}

void router::update_block_lifetime(core::upstream_id engine, std::chrono::milliseconds lifetime)
{
    engine_record* const record = m_engines.find(engine);
    if (record == nullptr || lifetime <= std::chrono::milliseconds::zero())
    {
        return;
    }
    record->m_block_lifetime = lifetime;
}

} // namespace tarragontrail::routing
