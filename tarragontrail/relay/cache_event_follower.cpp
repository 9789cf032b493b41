#include "tarragontrail/relay/cache_event_follower.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/cache_salt.hpp"

#include <algorithm>

namespace tarragontrail::relay {

cache_event_follower::cache_event_follower(boost::asio::io_context& context,
                                           cache_event_follower_settings settings,
                                           relay_state& state, const instance_registry& registry,
                                           engine_control& engines, core::instance_id self)
    : m_settings(settings), m_state(state), m_registry(registry), m_engines(engines), m_self(self),
      m_timer(context)
{}

void cache_event_follower::start()
{
    schedule(m_settings.m_idle_interval);
}

void cache_event_follower::poll()
{
    const cache_store* store = m_state.cache_store_in_use();
    if (store == nullptr || !follows_cache_store(store->m_max_concurrent_calls))
    {
        m_state.m_cache_store_reachable = store != nullptr;
        schedule(m_settings.m_idle_interval);
        return;
    }
    m_engines.follow_cache(
        store->m_endpoint, m_next_event, m_settings.m_max_wait,
        [this](const std::optional<cache_events>& events) { on_events(events); });
}

void cache_event_follower::on_events(const std::optional<cache_events>& events)
{
    const cache_store* store = m_state.cache_store_in_use();
    if (!events || store == nullptr)
    {
        if (m_consecutive_failures++ == 0)
        {
            observe::log("cache_store_lost", {{"next", m_next_event}});
        }
        m_state.m_cache_store_reachable = false;
        schedule(m_settings.m_retry_delay);
        return;
    }
    if (m_consecutive_failures > 0)
    {
        observe::log("cache_store_regained", {{"failures", m_consecutive_failures}});
    }
    m_consecutive_failures = 0;
    m_state.m_cache_store_reachable = true;
    if (events->m_epoch != m_epoch)
    {
        // The store has restarted and holds only the parts that later events report.
        m_state.m_cached_parts.clear_holder(store->m_id);
        m_epoch = events->m_epoch;
    }
    for (const cache_event& event : events->m_events)
    {
        const auto salt = parse_cache_salt(event.m_salt);
        if (!salt)
        {
            continue;
        }
        const part_key part = upstream_selector::versioned_part_key(
            core::hash_pair(event.m_part, salt->m_isolation_id), salt->m_version);
        if (event.m_added)
        {
            m_state.m_cached_parts.record_use(part, store->m_id, event.m_tokens,
                                              store->assumed_capacity_tokens());
            continue;
        }
        m_state.m_cached_parts.remove_part(part, store->m_id);
    }
    m_next_event = events->m_next;
    schedule(events->m_events.empty() ? std::chrono::milliseconds(0)
                                      : m_settings.m_delay_after_events);
}

void cache_event_follower::schedule(std::chrono::milliseconds delay)
{
    m_timer.run_after(delay, [this] { poll(); });
}

bool cache_event_follower::follows_cache_store(std::uint64_t max_concurrent_calls) const
{
    const core::time_point now = core::runtime_clock::now();
    const auto rank = std::count_if(
        m_registry.members().begin(), m_registry.members().end(), [&](const auto& entry) {
            return entry.first < m_self && m_registry.is_alive(entry.first, now);
        });
    const std::uint64_t followers = max_concurrent_calls > m_settings.m_reserved_calls
                                        ? max_concurrent_calls - m_settings.m_reserved_calls
                                        : 1;
    return static_cast<std::uint64_t>(rank) < followers;
}

} // namespace tarragontrail::relay
