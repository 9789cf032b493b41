#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <boost/asio/io_context.hpp>

namespace tarragontrail::relay {

/// Settings of cache_watch.
struct cache_watch_settings
{
    std::chrono::milliseconds m_wait{1'000}; ///< Longest time that one call waits for events.
    std::chrono::milliseconds m_pause{150};  ///< Pause after events, so that calls stay few.
    std::chrono::milliseconds m_retry{400};  ///< Pause after a failure.
    std::chrono::milliseconds m_idle{1'000}; ///< Pause while there is nothing to watch.
    std::uint64_t m_spare_calls = 4;         ///< Calls at once that are left to others.
};

/// Follows what the store of cached parts holds.
///
/// The store serves few such calls at once, so only the first instances by identifier follow it;
/// the others know of its parts from the instances that have them saved.
class cache_watch
{
public:
    cache_watch(boost::asio::io_context& context, cache_watch_settings settings, relay_state& state,
                const instance_registry& roster, engine_control& engines, core::instance_id self);

    /// Begins to follow.
    void start();

private:
    void ask();
    void on_events(const std::optional<cache_events>& events);
    void later(std::chrono::milliseconds pause);
    bool is_watcher(std::uint64_t calls_at_once) const;

    cache_watch_settings m_settings;   ///< Settings.
    relay_state& m_state;              ///< Map of parts.
    const instance_registry& m_roster; ///< Instances.
    engine_control& m_engines;         ///< Store of parts.
    core::instance_id m_self;          ///< This instance.
    net::timer m_timer;                ///< Next call.
    std::uint64_t m_next = 0;          ///< Next event.
    std::uint64_t m_epoch = 0;         ///< Start of the store that events belong to.
    std::uint64_t m_failures = 0;      ///< Failed calls in a row.
};

} // namespace tarragontrail::relay
