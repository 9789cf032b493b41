// Candidate selection and lookups of the router.
#include "tarragontrail/routing/prefix_probe.hpp"
#include "tarragontrail/routing/router.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::routing {

router::eligibility router::check(const engine_record& engine,
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
    return eligibility::usable;
}

std::optional<unroutable_reason> router::collect_options(const request_record& request,
                                                         core::time_point now)
{
    m_options.m_local.clear();
    m_options.m_remote.clear();
    eligibility best = eligibility::other_model;
    for (const engine_record& engine : m_engines.records())
    {
        const eligibility found = check(engine, request);
        best = std::max(best, found);
        if (found != eligibility::usable)
        {
            continue;
        }
        const bool local = engine.m_entry.m_region_id == m_self.m_region_id;
        const core::duration wait = engine.m_load.wait(m_settings.m_load, now);
        (local ? m_options.m_local : m_options.m_remote)
            .push_back({engine.m_entry.m_upstream_id, wait});
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
    case eligibility::usable:
        break;
    }
    return std::nullopt;
}

bool router::remote_allowed(const request_record& request, core::time_point now) const noexcept
{
    for (const engine_option& option : m_options.m_local)
    {
        if (option.m_wait <= m_settings.m_region_overload_wait)
        {
            return false;
        }
    }
    return m_link.allows(link_bytes(request), now);
}

std::size_t router::candidates_at(double rate) const noexcept
{
    const double more = m_settings.m_hot_requests_per_second > 0
                            ? std::floor(rate / m_settings.m_hot_requests_per_second)
                            : 0.0;
    const double wanted = static_cast<double>(m_settings.m_candidates) * (1.0 + more);
    return static_cast<std::size_t>(std::min(wanted, static_cast<double>(max_candidates)));
}

std::optional<unroutable_reason> router::select_candidates(request_record& request,
                                                           core::time_point now)
{
    if (request.m_deadline <= now)
    {
        return unroutable_reason::deadline_passed;
    }
    const std::optional<unroutable_reason> reason = collect_options(request, now);
    if (reason.has_value())
    {
        return reason;
    }

    selection input;
    input.m_local = m_options.m_local;
    input.m_key = request.m_key;
    input.m_previous_key = request.m_previous_key;
    input.m_count = request.m_candidate_count;
    if (remote_allowed(request, now))
    {
        input.m_remote = m_options.m_remote;
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

void router::ask_watchers(request_record& request, core::time_point now)
{
    const bool uses_depths =
        std::visit([](const auto& policy) { return policy.m_uses_depths; }, m_policy);
    const bool asks = uses_depths && !request.m_hashes.empty() && m_settings.m_lookup_rounds > 0;
    bool started = false;
    for (candidate& item : request.m_candidates.items())
    {
        // A watcher in another region answers too late to be of use.
        if (!asks || item.m_origin == candidate_origin::other_region)
        {
            continue;
        }
        // Without a choice an answer is not worth its bytes.
        if (ask_locally(request, item) || request.m_candidates.size() == 1)
        {
            continue;
        }
        if (!started)
        {
            m_requests.start_lookups(request, now + m_settings.m_lookup_timeout);
            started = true;
        }
        ask_next(request, item);
    }
    if (!started)
    {
        decide(request, now);
    }
}

bool router::ask_locally(const request_record& request, candidate& item)
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
    item.m_replied = true;
    item.m_known = index->known();
    item.m_incarnation = index->incarnation();
    item.m_bracket = {depth, depth};
    learn_lifetime(item.m_engine, index->block_lifetime());
    return true;
}

void router::ask_next(const request_record& request, candidate& item)
{
    lookup_request question;
    question.m_lookup_id = request.m_lookup_base + item.m_round;
    question.m_engine = item.m_engine;
    question.m_incarnation = m_engines.find(item.m_engine)->m_entry.m_incarnation;
    if (item.m_round == 0)
    {
        fill_initial_probe(request.m_hashes, question);
    }
    else
    {
        fill_settling_probe(request.m_hashes, item.m_bracket, question);
    }
    item.m_asked = true;
    m_actions.emplace_back(send_lookup{item.m_engine, std::move(question)});
}

void router::take_reply(const request_record& request, candidate& item, const lookup_reply& reply)
{
    item.m_asked = false;
    item.m_replied = true;
    m_engines.on_incarnation(item.m_engine, reply.m_incarnation);
    learn_lifetime(item.m_engine, reply.m_block_lifetime);
    // An answer for an older incarnation must not reach the next question as known depth.
    const engine_record* const engine = m_engines.find(item.m_engine);
    const bool current = engine != nullptr && engine->m_entry.m_incarnation == reply.m_incarnation;
    const bool usable = current && reply.m_known && reply.m_depth_lower <= reply.m_depth_upper &&
                        reply.m_depth_upper <= request.m_hashes.size();
    item.m_known = usable;
    if (!usable)
    {
        return;
    }
    item.m_incarnation = reply.m_incarnation;
    item.m_bracket = {reply.m_depth_lower, reply.m_depth_upper};

    // A wide bracket is worth another question.
    const std::uint64_t width = reply.m_depth_upper - reply.m_depth_lower;
    if (width < m_settings.m_settle_pieces || width == 0 ||
        item.m_round + 1 >= m_settings.m_lookup_rounds)
    {
        return;
    }
    ++item.m_round;
    ask_next(request, item);
}

bool router::is_asking(const request_record& request) noexcept
{
    const auto items = request.m_candidates.items();
    return std::any_of(items.begin(), items.end(),
                       [](const candidate& item) { return item.m_asked; });
}

void router::learn_lifetime(core::upstream_id engine, std::chrono::milliseconds lifetime)
{
    engine_record* const record = m_engines.find(engine);
    if (record == nullptr || lifetime <= std::chrono::milliseconds::zero())
    {
        return;
    }
    record->m_block_lifetime = lifetime;
}

} // namespace tarragontrail::routing
