#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/limits/demand_share.hpp"
#include "tarragontrail/net/http_client.hpp"
#include "tarragontrail/observe/metrics.hpp"
#include "tarragontrail/recovery/crash_attribution.hpp"
#include "tarragontrail/recovery/retry_budget.hpp"
#include "tarragontrail/relay/admission_policy.hpp"
#include "tarragontrail/relay/drain_window.hpp"
#include "tarragontrail/relay/http_codec.hpp"
#include "tarragontrail/relay/route_table.hpp"
#include "tarragontrail/relay/upstream_selector.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace tarragontrail::relay {

class relay_session;

/// A request that an engine was sent uses a part, which the engine keeps.
struct part_use
{
    part_key m_part = 0;          ///< Part.
    core::upstream_id m_holder{}; ///< Engine, or the store of parts.
    std::uint64_t m_tokens = 0;   ///< Its length.
    core::duration m_work{};      ///< Work before the first byte; zero when told with another part.
};

/// Tells the other instances of what one request changed.
class relay_announcer
{
public:
    virtual ~relay_announcer() = default;

    /// An engine is being sent a part that it will keep.
    virtual void announce_part_use(const part_use& use) = 0;

    /// An engine runs another version than was believed.
    virtual void announce_weights(core::upstream_id engine, const std::string& model,
                                  placement::weights_version version) = 0;
};

/// Timing of one request, beyond its route's settings.
struct relay_session_settings
{
    std::chrono::milliseconds m_default_deadline{10'000}; ///< For a caller that names none.
    std::chrono::milliseconds m_connect_timeout{250};     ///< Ten round trips between regions.
    std::chrono::milliseconds m_reuse_limit{
        4'000}; ///< Upstreams close connections idle for longer.
    std::chrono::milliseconds m_unrepeatable_reuse_limit{
        1'000}; ///< The same for requests that cannot be repeated.
    std::chrono::milliseconds m_response_margin{
        25};                                   ///< Time for the last answer to reach the caller.
    double m_overdue_factor = 2.5;             ///< Overdue after this many times the forecast.
    double m_overdue_objective_fraction = 0.5; ///< But not before this share of the objective.
    std::uint64_t m_max_connect_attempts = 4;  ///< Upstreams tried until a connection is made.
    std::uint64_t m_max_sends = 3;             ///< Upstreams that may get one request.
    std::size_t m_buffer_limit_bytes = std::size_t{256} * 1024; ///< Larger answers are streamed.
    /// Pause between looks at an open case; half of the blame's settling time.
    std::chrono::milliseconds m_suspect_recheck_interval{250};
    std::chrono::milliseconds m_no_upstream_retry_after{
        250}; ///< Pause told when no upstream is there.
    std::chrono::milliseconds m_not_ready_retry_after{
        500}; ///< Pause told before the first configuration.
};

/// What all requests of one instance share; used on one thread.
struct relay_state
{
    relay_state(boost::asio::io_context& context, const http_codec& codec,
                const upstream_selector_settings& selector, const locality& own_locality,
                core::instance_id self, std::uint64_t seed)
        : m_context(context), m_codec(codec), m_client(context, idle_connections),
          m_selector(selector, own_locality, seed), m_limits(self), m_crash_attribution({}, self),
          m_random(seed)
    {}

    /// Store of cached parts that the configuration in force names; null when there is none.
    const cache_store* cache_store_in_use() const { return m_routes ? m_routes->store() : nullptr; }

    /// Retry budget of a service.
    recovery::retry_budget& budget_of(const std::string& service);

    static constexpr std::size_t idle_connections = 12; ///< Kept per upstream.

    boost::asio::io_context& m_context;                ///< Event loop.
    const http_codec& m_codec;                         ///< Names on the wire.
    net::http_client m_client;                         ///< Connections to upstreams.
    relay_session_settings m_session_settings;         ///< Timing of requests.
    std::shared_ptr<const route_table> m_routes;       ///< Configuration in force; null before.
    upstream_table m_upstreams;                        ///< Upstreams.
    cached_part_index m_cached_parts;                  ///< Cached prompt parts.
    upstream_selector m_selector;                      ///< Chooses upstreams.
    admission_policy m_admission;                      ///< Refuses what cannot be served.
    limits::demand_share m_limits;                     ///< Rates and bursts of workspaces.
    recovery::crash_attribution m_crash_attribution;   ///< Finds requests that crash upstreams.
    recovery::retry_budget_settings m_budget_settings; ///< Of each service.
    std::map<std::string, recovery::retry_budget> m_budgets; ///< By service.
    std::uint64_t m_live_instances = 1;                      ///< Live instances of the fleet.
    std::optional<drain_window> m_drain;                     ///< Set once this instance leaves.
    std::map<std::string, target_weights_history>
        m_target_weights; ///< Weights that operators named, by model.
    std::set<std::shared_ptr<relay_session>> m_sessions; ///< Requests under way.
    bool m_cache_store_reachable = false;                ///< The store of cached parts answers.
    core::seeded_random m_random;                        ///< Splits routes by weight.
    observe::metrics m_metrics;                          ///< Counters and histograms.
    relay_announcer* m_announcer = nullptr;              ///< Other instances.
};

} // namespace tarragontrail::relay
