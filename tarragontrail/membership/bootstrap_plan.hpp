#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/core/random.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::membership {

/// Timing and limits of bootstrap_plan.
struct bootstrap_plan_settings
{
    std::chrono::milliseconds m_max_jitter{1000}; ///< Largest random delay added before each fetch.
    /// Wait for one source before the next is tried.
    std::chrono::milliseconds m_attempt_timeout{1500};
    std::size_t m_peers_before_store = 2; ///< Peers tried before each attempt at the store.
    std::size_t m_max_peer_fetches = 4;   ///< Fetches served to peers at once.
};

/// Identifies a resource that a new instance fetches, such as the routing depths of one shard.
enum class resource_id : std::uint64_t
{
};

/// Action: fetch a resource from a peer.
struct fetch_from_peer
{
    resource_id m_resource{};
    core::instance_id m_peer{};
    std::uint64_t m_attempt = 0; ///< Echoed in the reply.
};

/// Action: fetch a resource from the platform's storage services.
struct fetch_from_store
{
    resource_id m_resource{};
    std::uint64_t m_attempt = 0; ///< Echoed in the reply.
};

/// Routes that an instance may serve.
enum class service_level
{
    open_routes,  ///< Open routes and locate only; requests with a key are refused as not run.
    keyed_routes, ///< All routes; some resources are missing, which only lowers the cache hit rate.
    complete,     ///< All routes, with all resources.
};

/// Plans the start of a new instance: what it fetches, from where, and what it may serve meanwhile.
class bootstrap_plan
{
public:
    using action = std::variant<fetch_from_peer, fetch_from_store>;

    bootstrap_plan(const bootstrap_plan_settings& settings,
                   const std::vector<resource_id>& resources, std::uint64_t seed);

    /// Schedules the first fetches with random delays, as a whole fleet may start at once.
    void start(core::time_point now);

    /// Sets the peers to fetch from.
    void set_peers(std::vector<core::instance_id> peers);

    void on_fetched(resource_id resource);

    /// Retries early: the source failed, lacks the resource, or is overloaded.
    void on_fetch_failed(resource_id resource, std::uint64_t attempt, core::time_point now);
    void on_timer(core::time_point now);

    /// What may be served; `keys_confirmed` says whether the bundle and the keys allow keyed
    /// routes.
    service_level level(bool keys_confirmed) const noexcept;

    /// Returns whether a fetch of a new peer may be served now and, if so, counts it as active.
    bool begin_peer_fetch() noexcept;

    /// Ends a fetch for which begin_peer_fetch() returned true.
    void end_peer_fetch();

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// Progress of one resource.
    struct progress
    {
        resource_id m_resource{};
        bool m_done = false;          ///< Whether it was fetched.
        std::uint64_t m_attempt = 0;  ///< Number of attempts made.
        core::time_point m_next_at{}; ///< Time of the next attempt.
    };

    core::duration jitter();

    bootstrap_plan_settings m_settings;
    core::seeded_random m_random; ///< Source of jitter and of the choice of peers.
    std::vector<progress> m_resources;
    std::vector<core::instance_id> m_peers; ///< Peers to fetch from.
    std::size_t m_active_peer_fetches = 0;  ///< Fetches being served to peers.
    std::vector<action> m_actions;          ///< Actions not yet returned by take_actions().
};

} // namespace tarragontrail::membership
