#include "tarragontrail/relay/upstream_selector.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Longest difference that is drawn by lot, so that instances with the same view do not herd.
constexpr std::chrono::microseconds tie_spread{2'000};

/// Time of a transfer of cached parts, against one within a failure domain.
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

upstream_selector::upstream_selector(upstream_selector_settings settings, locality here,
                                     std::uint64_t seed)
    : m_settings(settings), m_here(std::move(here)), m_random(seed)
{}

part_key upstream_selector::key_of(std::uint64_t part, placement::weights_version version) noexcept
{
    return core::hash_pair(part, static_cast<std::uint64_t>(version));
}

std::optional<selection> upstream_selector::choose(const upstream_table& table,
                                                   const part_map& parts,
                                                   const selection_request& request,
                                                   core::time_point now)
{
    std::optional<option> best;
    std::size_t weighed_count = 0;
    for (const auto& candidate : table.of_service(*request.m_service))
    {
        const group candidate_group = group_of(*candidate, request, now);
        if (candidate_group == group::excluded || (best && candidate_group > best->m_group))
        {
            continue;
        }
        option weighed = weigh(table, parts, candidate, request, now);
        weighed.m_group = candidate_group;
        ++weighed_count;
        if (best && candidate_group == best->m_group && weighed.m_cost >= best->m_cost)
        {
            continue;
        }
        best = std::move(weighed);
    }
    if (!best)
    {
        return std::nullopt;
    }
    best->m_selection.m_candidates = weighed_count;
    return std::move(best->m_selection);
}

std::optional<core::time_point>
upstream_selector::stale_since(const selection_request& request,
                               std::optional<placement::weights_version> version)
{
    if (request.m_wanted == nullptr || !version)
    {
        return std::nullopt;
    }
    return request.m_wanted->stale_since(*version);
}

upstream_selector::group upstream_selector::group_of(const upstream& candidate,
                                                     const selection_request& request,
                                                     core::time_point now) const
{
    const std::vector<core::upstream_id>& tried = *request.m_tried;
    if (std::find(tried.begin(), tried.end(), candidate.m_record.m_id) != tried.end() ||
        now < candidate.m_loading_until)
    {
        return group::excluded;
    }
    if (request.m_prompt != nullptr)
    {
        const auto version = candidate.version_of(request.m_prompt->m_model);
        if (!version)
        {
            return group::excluded;
        }
        const auto stale = stale_since(request, version);
        if (stale && now - *stale > m_settings.m_stale_weights_limit)
        {
            return group::excluded;
        }
    }
    if (candidate.m_leaving_since)
    {
        return now - *candidate.m_leaving_since > m_settings.m_leaving_limit ? group::excluded
                                                                             : group::fallback;
    }
    const bool busy_with_trial =
        candidate.m_health.is_on_trial() && candidate.m_load.own().m_in_flight > 0;
    if (!candidate.m_health.allows(now) || busy_with_trial)
    {
        return group::fallback;
    }
    return group::usual;
}

upstream_selector::option upstream_selector::weigh(const upstream_table& table,
                                                   const part_map& parts,
                                                   const std::shared_ptr<upstream>& candidate,
                                                   const selection_request& request,
                                                   core::time_point now)
{
    option weighed;
    weighed.m_selection.m_upstream = candidate;
    if (request.m_prompt != nullptr)
    {
        weigh_prompt(weighed, table, parts, request, now);
    }
    else
    {
        weigh_plain(weighed, now);
    }

    const upstream_health& health = candidate->m_health;
    weighed.m_selection.m_first_byte =
        core::scaled(weighed.m_selection.m_first_byte, health.pace(now));
    weighed.m_cost += weighed.m_selection.m_first_byte;
    weighed.m_cost += cost_of_way(*candidate, request.m_body_bytes);
    weighed.m_cost += core::scaled(m_settings.m_failure_cost, health.failure_rate(now));
    weighed.m_cost += core::scaled(tie_spread, m_random.unit());
    return weighed;
}

void upstream_selector::weigh_prompt(option& weighed, const upstream_table& table,
                                     const part_map& parts, const selection_request& request,
                                     core::time_point now) const
{
    selection& chosen = weighed.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const prompt_shape& prompt = *request.m_prompt;
    chosen.m_version = candidate.version_of(prompt.m_model);

    const core::duration missing = missing_parts(weighed, table, parts, request, now);
    const core::duration reading = missing + prefill_time(prompt.m_own_tokens);
    const load_sum load = candidate.m_load.total(now);
    chosen.m_work.m_before_first_byte = reading;
    chosen.m_work.m_tokens = prompt.m_own_tokens + prompt.m_output_tokens;
    for (const std::uint64_t tokens : prompt.m_shared_tokens)
    {
        chosen.m_work.m_tokens += tokens;
    }

    // Beyond the slots or the memory a request waits until others have ended.
    chosen.m_queued = load.m_backlog;
    const std::uint64_t slots = std::max<std::uint64_t>(candidate.m_record.m_slots, 1);
    if (load.m_in_flight >= slots)
    {
        const double rounds =
            static_cast<double>(load.m_in_flight - slots + 1) / static_cast<double>(slots);
        chosen.m_queued += core::scaled(candidate.m_hold_mean, rounds);
    }
    const std::uint64_t needed = load.m_tokens + chosen.m_work.m_tokens;
    if (request.m_engine_capacity > 0 && needed > request.m_engine_capacity)
    {
        const double excess = static_cast<double>(needed - request.m_engine_capacity) /
                              static_cast<double>(request.m_engine_capacity);
        chosen.m_queued += core::scaled(candidate.m_hold_mean, excess + 1.0);
    }
    // An engine answers its streams between the pieces of the prompts that it reads.
    weighed.m_cost += core::scaled(chosen.m_queued, m_settings.m_shared_step_cost);
    chosen.m_first_byte = chosen.m_queued + reading + m_settings.m_first_event;

    const auto stale = stale_since(request, chosen.m_version);
    if (stale && now - *stale > m_settings.m_stale_weights_free)
    {
        weighed.m_cost += m_settings.m_stale_weights_cost;
    }
}

void upstream_selector::weigh_plain(option& weighed, core::time_point now) const
{
    selection& chosen = weighed.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const load_sum load = candidate.m_load.total(now);
    const std::uint64_t slots = std::max<std::uint64_t>(candidate.m_record.m_slots, 1);
    const double busy = static_cast<double>(load.m_in_flight) / static_cast<double>(slots);
    if (load.m_in_flight >= slots)
    {
        const double rounds =
            static_cast<double>(load.m_in_flight - slots + 1) / static_cast<double>(slots);
        chosen.m_queued = core::scaled(candidate.m_hold_mean, rounds);
    }
    chosen.m_first_byte = chosen.m_queued + candidate.m_hold_mean;
    chosen.m_work.m_before_first_byte = candidate.m_hold_mean;
    // Between upstreams with free slots the emptier one is preferred a little.
    weighed.m_cost += core::scaled(candidate.m_hold_mean, 0.25 * std::min(busy, 1.0));
}

core::duration upstream_selector::missing_parts(option& weighed, const upstream_table& table,
                                                const part_map& parts,
                                                const selection_request& request,
                                                core::time_point now) const
{
    selection& chosen = weighed.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const prompt_shape& prompt = *request.m_prompt;
    std::uint64_t missing_tokens = 0;
    std::optional<part_key> longest_missing;
    for (std::size_t i = 0; i < prompt.m_shared.size(); ++i)
    {
        const part_key part = key_of(prompt.m_shared[i], *chosen.m_version);
        const bool steers = prompt.m_shared_tokens[i] >= m_settings.m_least_shared_tokens;
        if (missing_tokens == 0 && (!steers || parts.holds(part, candidate.m_record.m_id)))
        {
            chosen.m_cached_tokens += prompt.m_shared_tokens[i];
            continue;
        }
        missing_tokens += prompt.m_shared_tokens[i];
        longest_missing = part;
    }
    if (prompt_is_short(prompt) && request.m_store.m_store != nullptr &&
        request.m_store.m_store->m_region == candidate.m_record.m_region)
    {
        weighed.m_cost += m_settings.m_short_near_store;
    }
    if (!longest_missing)
    {
        return core::duration::zero();
    }
    if (is_owner(table, parts, candidate, request, *longest_missing))
    {
        weighed.m_cost -= m_settings.m_new_part_bias;
    }

    return quickest_source(weighed, table, parts, request, {*longest_missing, missing_tokens}, now);
}

/// Reads the missing parts, or fetches them from an engine or the store, whichever is sooner.
core::duration upstream_selector::quickest_source(option& weighed, const upstream_table& table,
                                                  const part_map& parts,
                                                  const selection_request& request,
                                                  const missing_prefix& missing,
                                                  core::time_point now) const
{
    selection& chosen = weighed.m_selection;
    const upstream& candidate = *chosen.m_upstream;
    const core::duration prefill = prefill_time(missing.m_tokens);
    core::duration quickest = prefill;
    bool is_held = false;
    for (const core::upstream_id holder_id : parts.holders(missing.m_last))
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
        if (fetch < quickest || (!chosen.m_fetch_from && fetch < prefill * 2))
        {
            quickest = fetch;
            chosen.m_fetch_from = holder;
        }
    }
    const cache_store* store = request.m_store.m_store;
    if (store != nullptr && parts.holds(missing.m_last, store->m_id))
    {
        is_held = true;
        const core::duration fetch =
            m_settings.m_fetch_overhead +
            milliseconds_of(static_cast<double>(missing.m_tokens) *
                            request.m_store.m_token_transfer_us *
                            transfer_factor(*store, candidate.m_record) / 1e3);
        if (fetch < quickest || (!chosen.m_fetch_from && fetch < prefill * 2))
        {
            quickest = fetch;
            chosen.m_fetch_from.reset();
            chosen.m_fetch_from_store = true;
        }
    }
    else if (store != nullptr && store->m_region == candidate.m_record.m_region)
    {
        chosen.m_save_to_store = true;
        weighed.m_cost -= is_held ? core::duration::zero() : m_settings.m_store_pull;
    }
    // Every copy takes room from parts that will be asked for again.
    if (request.m_engine_capacity > 0)
    {
        const double filled = static_cast<double>(parts.tokens_of(candidate.m_record.m_id)) /
                              static_cast<double>(request.m_engine_capacity);
        weighed.m_cost += core::scaled(m_settings.m_crowding_cost, filled);
    }
    if (is_held)
    {
        weighed.m_cost += m_settings.m_copy_cost;
    }
    if (is_held && !chosen.m_fetch_from && !chosen.m_fetch_from_store)
    {
        weighed.m_cost += milliseconds_of(m_settings.m_reread_ms_per_token *
                                          static_cast<double>(missing.m_tokens));
    }
    return quickest;
}

core::duration upstream_selector::cost_of_way(const upstream& candidate,
                                              std::uint64_t body_bytes) const
{
    const upstream_record& record = candidate.m_record;
    if (record.m_failure_domain == m_here.m_failure_domain)
    {
        return core::duration::zero();
    }
    if (record.m_region == m_here.m_region)
    {
        return m_settings.m_other_domain;
    }
    return m_settings.m_other_region + milliseconds_of(m_settings.m_other_region_ms_per_kb *
                                                       static_cast<double>(body_bytes) / 1024.0);
}

bool upstream_selector::prompt_is_short(const prompt_shape& prompt) const
{
    return std::none_of(
        prompt.m_shared_tokens.begin(), prompt.m_shared_tokens.end(),
        [this](std::uint64_t tokens) { return tokens >= m_settings.m_least_shared_tokens; });
}

core::duration upstream_selector::prefill_time(std::uint64_t tokens) const
{
    return milliseconds_of(static_cast<double>(tokens) / m_settings.m_prefill_tokens_per_ms);
}

/// Whether every instance of the region would send the first request with this part here: without
/// an agreed owner, requests that arrive together at several instances would each read it
/// elsewhere.
bool upstream_selector::is_owner(const upstream_table& table, const part_map& parts,
                                 const upstream& candidate, const selection_request& request,
                                 part_key part) const
{
    if (candidate.m_record.m_region != m_here.m_region)
    {
        return false;
    }
    const auto in_region = [&](core::upstream_id holder_id) {
        const auto holder = table.find(holder_id);
        return holder && holder->m_record.m_region == m_here.m_region;
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
        const bool may_own = other->m_record.m_region == m_here.m_region && !other->m_leaving_since;
        if (may_own && score(*other) > own_score)
        {
            return false;
        }
    }
    return true;
}

} // namespace tarragontrail::relay
