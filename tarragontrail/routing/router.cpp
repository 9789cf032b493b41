#include "tarragontrail/routing/router.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::routing {

router::router(const router_identity& self, const routing_settings& settings)
    : m_identity(self), m_settings(settings), m_policy(make_policy(settings)),
      m_random(self.m_random_seed), m_requests(m_random()),
      m_anchor_depths(self.m_instance_id, settings.m_anchor),
      m_predicted_blocks(settings.m_predicted_blocks),
      m_link_budget(settings.m_region_link_bytes_per_second, settings.m_region_link_burst_bytes)
{
    m_settings.m_candidates_per_key =
        std::clamp<std::uint64_t>(settings.m_candidates_per_key, 1, max_candidates);
    m_settings.m_lookup_rounds = std::min(settings.m_lookup_rounds, lookup_ids_per_request);
}

void router::set_engines(const std::vector<engine_entry>& engines, core::time_point /*now*/)
{
    m_engines.assign(engines);
}

void router::set_local_index(core::upstream_id engine, const cached_block_index* index)
{
    if (index == nullptr)
    {
        m_local_indexes.erase(core::value_of(engine));
        return;
    }
    m_local_indexes.insert(core::value_of(engine), index);
}

void router::begin(const route_request& request, core::time_point now)
{
    TARRAGONTRAIL_INVARIANT(request.m_chain.root() == root_of(request.m_identity),
                            "chain_of_own_identity");
    request_record& record = m_requests.add(request.m_request_id);
    record.m_identity = request.m_identity;
    record.m_hashes.assign(request.m_chain.hashes().begin(), request.m_chain.hashes().end());
    record.m_prompt_tokens = request.m_prompt_tokens;
    record.m_max_output_tokens = request.m_max_output_tokens;
    record.m_deadline = request.m_deadline;
    record.m_excluded.assign(request.m_excluded.begin(), request.m_excluded.end());

    // A prompt without a complete piece shares no cached prefix, so a key from its id spreads such
    // requests.
    const std::uint64_t own_key = core::hash_pair(core::value_of(request.m_request_id), 0);
    const rendezvous_keys keys = m_anchor_depths.observe_chain(anchor_group_of(request.m_identity),
                                                               request.m_chain, own_key, now);
    record.m_key = keys.m_key;
    record.m_anchor_depth = keys.m_depth;
    record.m_previous_key = keys.m_previous_key;
    const double rate = m_prefix_rates.on_request(keys.m_key, now);
    record.m_candidates_per_key = candidate_count_at(rate);

    const std::optional<unroutable_reason> reason = select_candidates(record, now);
    if (reason.has_value())
    {
        finish_unroutable(record, *reason);
        return;
    }
    look_up_cached_depths(record, now);
}

void router::on_lookup_reply(const lookup_reply& reply, core::time_point now)
{
    const std::uint64_t round = reply.m_lookup_id % lookup_ids_per_request;
    request_record* const request = m_requests.find_by_lookup(reply.m_lookup_id - round);
    if (request == nullptr)
    {
        return;
    }
    candidate* const item = request->m_candidates.find(reply.m_engine);
    if (item == nullptr || !item->m_lookup_pending || item->m_lookup_round != round)
    {
        return;
    }
    handle_lookup_reply(*request, *item, reply);
    if (!has_pending_lookups(*request))
    {
        decide(*request, now);
    }
}

void router::on_timer(core::time_point now)
{
    for (request_record* request = m_requests.next_timed_out(now); request != nullptr;
         request = m_requests.next_timed_out(now))
    {
        request->m_timed_out = true;
        decide(*request, now);
    }
}

std::optional<core::time_point> router::next_deadline() const noexcept
{
    return m_requests.next_deadline();
}

void router::on_dispatched(core::request_id request_id, core::time_point now)
{
    request_record* const request = m_requests.find(request_id);
    if (request == nullptr || request->m_stage != request_stage::routed)
    {
        return;
    }
    request->m_stage = request_stage::dispatched;
    m_predicted_blocks.insert(request->m_engine, request->m_incarnation, request->m_hashes, now);
    request->m_hashes.clear();
}

void router::on_first_token(core::request_id request_id, core::time_point /*now*/)
{
    const request_record* const request = m_requests.find(request_id);
    if (request == nullptr)
    {
        return;
    }
    engine_record* const engine = m_engines.find(request->m_engine);
    if (engine != nullptr)
    {
        engine->m_load.on_first_token(request_id);
    }
}

void router::on_finished(core::request_id request_id, std::uint64_t /*output_tokens*/,
                         core::time_point /*now*/)
{
    request_record* const request = m_requests.find(request_id);
    if (request == nullptr)
    {
        return;
    }
    engine_record* const engine = m_engines.find(request->m_engine);
    if (engine != nullptr)
    {
        engine->m_load.on_finished(request_id);
    }
    m_requests.remove(*request);
}

void router::on_load_report(core::upstream_id engine, const load_report& load, core::time_point now)
{
    on_engine_incarnation(engine, load.m_incarnation, now);
    engine_record* const record = m_engines.find(engine);
    if (record == nullptr || load.m_incarnation != record->m_entry.m_incarnation)
    {
        return;
    }
    record->m_load.on_report(load);
}

void router::on_engine_incarnation(core::upstream_id engine, core::incarnation incarnation,
                                   core::time_point /*now*/)
{
    m_engines.on_incarnation(engine, incarnation);
}

void router::on_anchor_hint(const anchor_hint& hint, core::time_point now)
{
    m_anchor_depths.on_hint(hint, now);
}

std::vector<anchor_hint> router::next_anchor_hints(std::size_t limit)
{
    return m_anchor_depths.next_hints(limit);
}

std::vector<router_action> router::take_actions()
{
    return std::exchange(m_actions, {});
}

std::int64_t router::in_flight_tokens(core::upstream_id engine) const noexcept
{
    const engine_record* const record = m_engines.find(engine);
    return record == nullptr ? 0 : record->m_load.in_flight_tokens();
}

std::size_t router::in_flight_requests(core::upstream_id engine) const noexcept
{
    const engine_record* const record = m_engines.find(engine);
    return record == nullptr ? 0 : record->m_load.in_flight_requests();
}

} // namespace tarragontrail::routing
