#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <boost/asio/io_context.hpp>

namespace tarragontrail::relay {

/// Settings of cache_watch.
struct cache_event_follower_settings
{
    std::chrono::milliseconds m_max_wait{1'000}; ///< Longest time that one call waits for events.
    std::chrono::milliseconds m_delay_after_events{
        150};                                     ///< Pause after events, so that calls stay few.
    std::chrono::milliseconds m_retry_delay{400}; ///< Pause after a failure.
    std::chrono::milliseconds m_idle_interval{1'000}; ///< Pause while there is nothing to watch.
    std::uint64_t m_reserved_calls = 4;               ///< Calls at once that are left to others.
};

/// Follows what the store of cached parts holds.
///
/// The store serves few such calls at once, so only the first instances by identifier follow it;
/// the others know of its parts from the instances that have them saved.
class cache_event_follower
{
public:
    cache_event_follower(boost::asio::io_context& context, cache_event_follower_settings settings,
                         relay_state& state, const instance_registry& registry,
                         engine_control& engines, core::instance_id self);

    /// Begins to follow.
    void start();

private:
    void poll();
    void on_events(const std::optional<cache_events>& events);
    void schedule(std::chrono::milliseconds delay);
    bool follows_cache_store(std::uint64_t max_concurrent_calls) const;

    cache_event_follower_settings m_settings; ///< Settings.
    relay_state& m_state;                     ///< Map of parts.
    const instance_registry& m_registry;      ///< Instances.
    engine_control& m_engines;                ///< Store of parts.
    core::instance_id m_self;                 ///< This instance.
    net::timer m_timer;                       ///< Next call.
    std::uint64_t m_next_event = 0;           ///< Next event.
    std::uint64_t m_epoch = 0;                ///< Start of the store that events belong to.
    std::uint64_t m_consecutive_failures = 0; ///< Failed calls in a row.
};

} // namespace tarragontrail::relay
