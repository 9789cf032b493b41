#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <boost/asio/io_context.hpp>

namespace tarragontrail::relay {

/// Settings of cache_event_follower.
struct cache_event_follower_settings
{
    /// Longest wait of one call for events.
    std::chrono::milliseconds m_max_wait{1'000};
    /// Delay after events arrived, which limits the rate of calls.
    std::chrono::milliseconds m_delay_after_events{150};
    /// Delay after a failed call.
    std::chrono::milliseconds m_retry_delay{400};
    /// Delay while this instance does not follow a cache store.
    std::chrono::milliseconds m_idle_interval{1'000};
    /// Concurrent calls to the cache store that are left to other users.
    std::uint64_t m_reserved_calls = 4;
};

/// Follows the events of the cache store to learn which parts it holds.
///
/// The store serves few such calls concurrently, so only the first instances by identifier follow
/// it; the others learn of its parts from the instances that had them saved.
class cache_event_follower
{
public:
    cache_event_follower(boost::asio::io_context& context, cache_event_follower_settings settings,
                         relay_state& state, const instance_registry& registry,
                         engine_control& engines, core::instance_id self);

    /// Starts following.
    void start();

private:
    void poll();
    void on_events(const std::optional<cache_events>& events);
    void schedule(std::chrono::milliseconds delay);
    bool follows_cache_store(std::uint64_t max_concurrent_calls) const;

    cache_event_follower_settings m_settings;
    relay_state& m_state;
    const instance_registry& m_registry;
    engine_control& m_engines;
    core::instance_id m_self;
    net::timer m_timer;
    std::uint64_t m_next_event = 0; ///< Number of the next event to read.
    std::uint64_t m_epoch = 0;      ///< Epoch of the store that the events belong to.
    std::uint64_t m_consecutive_failures = 0;
};

} // namespace tarragontrail::relay
