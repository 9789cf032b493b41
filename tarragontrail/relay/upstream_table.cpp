#include "tarragontrail/relay/upstream_table.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Longer than any upstream gets requests after it said that it leaves.
constexpr std::chrono::hours unknown_leaving_time{1};

} // namespace

std::optional<placement::weights_version> upstream::version_of(std::string_view model) const
{
    for (const model_weights& loaded : m_record.m_models)
    {
        if (loaded.m_model == model)
        {
            return loaded.m_version;
        }
    }
    return std::nullopt;
}

void upstream::set_version(std::string_view model, placement::weights_version version)
{
    for (model_weights& loaded : m_record.m_models)
    {
        if (loaded.m_model == model)
        {
            loaded.m_version = version;
        }
    }
}

bool upstream_table::apply(const upstream_record& record, core::time_point now)
{
    m_removed.erase(record.m_id);
    const auto found = m_by_id.find(record.m_id);
    if (found == m_by_id.end())
    {
        auto added = std::make_shared<upstream>();
        added->m_record = record;
        if (record.m_leaving)
        {
            // Nobody tells for how long it has been leaving.
            added->m_leaving_since = now - unknown_leaving_time;
        }
        m_by_id.emplace(record.m_id, added);
        m_by_service[record.m_service].push_back(added);
        return true;
    }

    upstream& known = *found->second;
    // A report that repeats the last one is no change.
    known.m_record.m_reports = record.m_reports;
    const bool is_same_start = known.m_record.identity() == record.identity();
    const bool leaves = record.m_leaving || (is_same_start && known.m_terms.is_leaving());
    if (known.m_record == record && known.m_leaving_since.has_value() == leaves)
    {
        return false;
    }
    if (known.m_record.m_service != record.m_service)
    {
        remove_from_service(found->second);
        m_by_service[record.m_service].push_back(found->second);
    }
    if (!is_same_start)
    {
        known.m_health.reset();
        known.m_doubted_since.reset();
        known.m_start_seen_at = {};
        known.m_terms = {};
        known.m_turns.reset();
    }
    known.m_record = record;
    if (!leaves)
    {
        known.m_leaving_since.reset();
    }
    else if (!known.m_leaving_since)
    {
        known.m_leaving_since = now;
    }
    return true;
}

std::optional<core::duration> upstream::time_to_next_request(const turn_order& order,
                                                             store_time store_now,
                                                             core::time_point now) const
{
    std::optional<core::duration> time;
    if (m_terms.is_waiting(now))
    {
        time = m_terms.waits_until() - now;
    }
    if (m_turns && m_turns->open_turns() == 0)
    {
        const auto turn = m_turns->next_turn(order, store_now);
        time = turn ? std::make_optional(std::max<core::duration>(*turn, time.value_or(*turn)))
                    : std::nullopt;
    }
    return time;
}

notice_effect upstream_table::on_notice(upstream& from, const upstream_notice& notice,
                                        store_time store_now, core::time_point now)
{
    notice_effect effect;
    effect.m_limit_changed = from.m_terms.on_notice(notice, store_now, now);
    if (effect.m_limit_changed)
    {
        apply_limit(from, store_now);
    }
    if (notice.m_is_leaving && !from.m_leaving_since)
    {
        from.m_leaving_since = now;
        effect.m_leaves = true;
    }
    return effect;
}

bool upstream_table::on_limit(core::upstream_id id, core::incarnation started,
                              const named_limit& limit, store_time store_now)
{
    const upstream_pointer limited = find(id);
    if (!limited || limited->m_record.m_started != started || !limited->m_terms.on_limit(limit))
    {
        return false;
    }
    apply_limit(*limited, store_now);
    return true;
}

void upstream_table::apply_limit(upstream& limited, store_time store_now)
{
    const auto rate = limited.m_terms.requests_per_second();
    if (!rate)
    {
        limited.m_turns.reset();
        return;
    }
    if (!limited.m_turns)
    {
        limited.m_turns.emplace(core::hash_pair(core::value_of(limited.m_record.m_id),
                                                core::value_of(limited.m_record.m_started)));
    }
    limited.m_turns->set_rate(*rate, store_now);
}

void upstream_table::refill_turns(const std::string& service, const turn_order& order,
                                  store_time store_now)
{
    for (const upstream_pointer& each : of_service(service))
    {
        if (each->m_turns)
        {
            each->m_turns->refill(order, store_now);
        }
    }
}

void upstream_table::remove(core::upstream_id id, core::time_point now)
{
    const upstream_pointer departed = find(id);
    if (!departed)
    {
        return;
    }
    m_removed.try_emplace(id, now);
    if (!departed->m_leaving_since)
    {
        departed->m_leaving_since = now;
    }
}

void upstream_table::remove_departed(core::duration retention, core::time_point now)
{
    for (auto entry = m_removed.begin(); entry != m_removed.end();)
    {
        if (now - entry->second < retention)
        {
            ++entry;
            continue;
        }
        if (const upstream_pointer departed = find(entry->first))
        {
            remove_from_service(departed);
            m_by_id.erase(entry->first);
        }
        entry = m_removed.erase(entry);
    }
}

upstream_table::upstream_pointer upstream_table::find(core::upstream_id id) const
{
    const auto found = m_by_id.find(id);
    return found == m_by_id.end() ? nullptr : found->second;
}

std::set<software_version> upstream_table::software_of(const std::string& service) const
{
    std::set<software_version> versions;
    for (const upstream_pointer& each : of_service(service))
    {
        versions.insert(each->m_record.m_software);
    }
    return versions;
}

const std::vector<upstream_table::upstream_pointer>&
upstream_table::of_service(const std::string& service) const
{
    static const std::vector<upstream_pointer> none;
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? none : found->second;
}

void upstream_table::remove_peer(core::instance_id peer)
{
    for (const auto& [id, known] : m_by_id)
    {
        known->m_load.remove_peer(peer);
    }
}

void upstream_table::remove_from_service(const upstream_pointer& departed)
{
    std::erase(m_by_service[departed->m_record.m_service], departed);
}

} // namespace tarragontrail::relay
