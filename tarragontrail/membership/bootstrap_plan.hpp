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

/// Settings of bootstrap_plan.
struct bootstrap_plan_settings
{
    std::chrono::milliseconds m_max_jitter{1000};      ///< Largest delay before the first fetches.
    std::chrono::milliseconds m_attempt_timeout{1500}; ///< Wait for one source.
    std::size_t m_peers_before_store = 2;              ///< Peers tried before the store.
    std::size_t m_max_peer_fetches = 4;                ///< Fetches served to others at once.
};

/// Identifies one thing that a fresh instance needs, such as the anchors of one shard.
enum class resource_id : std::uint64_t
{
};

/// Action: fetch a need from a peer.
struct fetch_from_peer
{
    resource_id m_resource{};    ///< Need.
    core::instance_id m_peer{};  ///< Peer to ask.
    std::uint64_t m_attempt = 0; ///< Echoed in the reply.
};

/// Action: fetch a need from the platform's services.
struct fetch_from_store
{
    resource_id m_resource{};    ///< Need.
    std::uint64_t m_attempt = 0; ///< Echoed in the reply.
};

/// What may be served.
enum class service_level
{
    open_routes,  ///< Open routes and locate only; keyed requests are refused as not run.
    keyed_routes, ///< All routes; some needs are still missing, which costs only cache hits.
    complete,     ///< All routes with everything needed.
};

/// Brings a fresh instance up: what it fetches, from whom, and what it may serve meanwhile.
class bootstrap_plan
{
public:
    using action = std::variant<fetch_from_peer, fetch_from_store>;

    bootstrap_plan(const bootstrap_plan_settings& settings,
                   const std::vector<resource_id>& resources, std::uint64_t seed);

    void start(core::time_point now);

    /// Peers that may be asked.
    void set_peers(std::vector<core::instance_id> peers);

    void on_fetched(resource_id resource);

    /// The source failed, does not hold the need, or is too busy.
    void on_fetch_failed(resource_id resource, std::uint64_t attempt, core::time_point now);
    void on_timer(core::time_point now);

    /// What may be served, given whether the bundle and the keys allow keyed routes.
    service_level level(bool keys_confirmed) const noexcept;

    /// Whether another fetch may be served to a fresh peer now; counts it when so.
    bool begin_peer_fetch() noexcept;
    void end_peer_fetch();

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// Progress of one need.
    struct progress
    {
        resource_id m_resource{};     ///< Need.
        bool m_done = false;          ///< Whether it is held.
        std::uint64_t m_attempt = 0;  ///< Attempts made.
        core::time_point m_next_at{}; ///< Moment of the next attempt.
    };

    core::duration jitter();

    bootstrap_plan_settings m_settings;     ///< Waits and bounds.
    core::seeded_random m_random;           ///< Jitter and choice of peers.
    std::vector<progress> m_resources;      ///< All needs.
    std::vector<core::instance_id> m_peers; ///< Peers that may be asked.
    std::size_t m_active_peer_fetches = 0;  ///< Fetches being served to others.
    std::vector<action> m_actions;          ///< Actions not yet taken.
};

} // namespace tarragontrail::membership
