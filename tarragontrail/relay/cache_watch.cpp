#include "tarragontrail/relay/cache_watch.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/cache_salt.hpp"

#include <algorithm>

namespace tarragontrail::relay {

cache_watch::cache_watch(boost::asio::io_context& context, cache_watch_settings settings,
                         relay_state& state, const instance_registry& roster,
                         engine_control& engines, core::instance_id self)
    : m_settings(settings), m_state(state), m_roster(roster), m_engines(engines), m_self(self),
      m_timer(context)
{}

void cache_watch::start()
{
    later(m_settings.m_idle);
}

void cache_watch::ask()
{
    const cache_store* store = m_state.store();
    if (store == nullptr || !is_watcher(store->m_max_concurrent_calls))
    {
        m_state.m_store_reached = store != nullptr;
        later(m_settings.m_idle);
        return;
    }
    m_engines.follow_cache(
        store->m_endpoint, m_next, m_settings.m_wait,
        [this](const std::optional<cache_events>& events) { on_events(events); });
}

void cache_watch::on_events(const std::optional<cache_events>& events)
{
    const cache_store* store = m_state.store();
    if (!events || store == nullptr)
    {
        if (m_failures++ == 0)
        {
            observe::log("cache_store_lost", {{"next", m_next}});
        }
        m_state.m_store_reached = false;
        later(m_settings.m_retry);
        return;
    }
    if (m_failures > 0)
    {
        observe::log("cache_store_regained", {{"failures", m_failures}});
    }
    m_failures = 0;
    m_state.m_store_reached = true;
    if (events->m_epoch != m_epoch)
    {
        // It has started anew and holds only what its events tell from here on.
        m_state.m_parts.forget(store->m_id);
        m_epoch = events->m_epoch;
    }
    for (const cache_event& event : events->m_events)
    {
        const auto salt = parse_cache_salt(event.m_salt);
        if (!salt)
        {
            continue;
        }
        const part_key part =
            upstream_selector::key_of(core::hash_pair(event.m_part, salt->m_wall), salt->m_version);
        if (event.m_added)
        {
            m_state.m_parts.note(part, store->m_id, event.m_tokens, store->believed_capacity());
            continue;
        }
        m_state.m_parts.forget_part(part, store->m_id);
    }
    m_next = events->m_next;
    later(events->m_events.empty() ? std::chrono::milliseconds(0) : m_settings.m_pause);
}

void cache_watch::later(std::chrono::milliseconds pause)
{
    net::run_after(m_timer, pause, [this] { ask(); });
}

bool cache_watch::is_watcher(std::uint64_t calls_at_once) const
{
    const core::time_point now = core::runtime_clock::now();
    const auto rank =
        std::count_if(m_roster.members().begin(), m_roster.members().end(), [&](const auto& entry) {
            return entry.first < m_self && m_roster.is_alive(entry.first, now);
        });
    const std::uint64_t watchers =
        calls_at_once > m_settings.m_spare_calls ? calls_at_once - m_settings.m_spare_calls : 1;
    return static_cast<std::uint64_t>(rank) < watchers;
}

} // namespace tarragontrail::relay
