#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/limits/demand_share.hpp"
#include "tarragontrail/net/http_client.hpp"
#include "tarragontrail/observe/metrics.hpp"
#include "tarragontrail/recovery/crash_attribution.hpp"
#include "tarragontrail/recovery/retry_budget.hpp"
#include "tarragontrail/relay/admission_policy.hpp"
#include "tarragontrail/relay/configuration_freshness.hpp"
#include "tarragontrail/relay/drain_window.hpp"
#include "tarragontrail/relay/http_codec.hpp"
#include "tarragontrail/relay/part_crash_monitor.hpp"
#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/route_table.hpp"
#include "tarragontrail/relay/standstill_monitor.hpp"
#include "tarragontrail/relay/stream_versions.hpp"
#include "tarragontrail/relay/upstream_reach.hpp"
#include "tarragontrail/relay/upstream_selector.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace tarragontrail::relay {

class relay_session;

/// Use of a cached part by a request that was sent to an engine.
struct part_use
{
    part_key m_part = 0;
    /// Engine or cache store.
    core::upstream_id m_holder{};
    /// Length of the part.
    std::uint64_t m_tokens = 0;
    /// Processing time before the first byte; zero when another part's announcement carries it.
    core::duration m_work{};
};

/// Announces to the other instances what one request changed.
class relay_announcer
{
public:
    virtual ~relay_announcer() = default;

    /// An engine receives a request with a part that it will cache.
    virtual void announce_part_use(const part_use& use) = 0;

    /// An engine runs another version of the weights than was known.
    virtual void announce_weights(core::upstream_id engine, const std::string& model,
                                  placement::weights_version version) = 0;

    /// Streams have begun whose version the other instances may not be able to tell.
    virtual void announce_streams(const std::vector<begun_stream>& streams) = 0;
};

/// Another instance that takes requests over.
struct passing_peer
{
    core::instance_id m_instance{};
    net::tcp::endpoint m_endpoint; ///< For requests that are passed on.
};

/// Instances that requests can be passed on to.
class peer_source
{
public:
    virtual ~peer_source() = default;

    /// An instance, near ones first, that reaches the service and is none of those that were tried;
    /// nothing when there is none.
    virtual std::optional<passing_peer>
    peer_reaching(const std::string& service, const std::vector<core::instance_id>& tried) = 0;
};

/// Reads the plans of software versions.
class plan_source
{
public:
    virtual ~plan_source() = default;

    /// Reads what the table store holds at the time of the call or later; the handler is told
    /// whether its plans are known here now.
    virtual void read_plans(std::function<void(bool is_read)> handler) = 0;

    /// Whether all other members have told since this time that they know no newer plans.
    virtual bool do_all_confirm(core::time_point since) const = 0;
};

/// Timeouts and limits of sessions, beyond the settings of the route.
struct relay_session_settings
{
    /// For callers that set no deadline.
    std::chrono::milliseconds m_default_deadline{10'000};
    /// Ten round trips between regions.
    std::chrono::milliseconds m_connect_timeout{250};
    /// Upstreams close connections that are idle for longer.
    std::chrono::milliseconds m_reuse_limit{4'000};
    /// Same for requests that cannot be repeated.
    std::chrono::milliseconds m_unrepeatable_reuse_limit{1'000};
    /// Reserved for a final response to reach the caller.
    std::chrono::milliseconds m_response_margin{25};
    /// An attempt is overdue after this multiple of the predicted time to first byte.
    double m_overdue_factor = 2.5;
    /// Minimum time before an attempt is overdue, as a fraction of the route's target latency.
    double m_overdue_objective_fraction = 0.5;
    /// Upstreams that are tried until a connection is made.
    std::uint64_t m_max_connect_attempts = 4;
    /// Upstreams that accept no connection until the request is passed on to another instance.
    std::uint64_t m_connect_failures_to_pass = 3;
    /// Upstreams that may be sent one request.
    std::uint64_t m_max_sends = 3;
    /// Larger responses are streamed.
    std::size_t m_buffer_limit_bytes = std::size_t{256} * 1024;
    /// Largest response that is passed on.
    std::uint64_t m_response_limit_bytes = std::uint64_t{64} * 1024 * 1024;
    /// Largest event of a stream.
    std::size_t m_event_limit_bytes = std::size_t{256} * 1024;
    /// Questions to the upstream of an answer that ends with its connection, until that end counts
    /// as broken off.
    std::uint64_t m_max_end_checks = 4;
    /// Longest check whether it has crashed.
    std::chrono::milliseconds m_end_probe_limit{300};
    /// Interval of checks while a suspect request is held; half of crash attribution's
    /// evaluation delay.
    std::chrono::milliseconds m_suspect_recheck_interval{250};
    /// Interval of checks while a part of the prompt is suspected of crashing engines.
    std::chrono::milliseconds m_suspect_part_recheck_interval{20};
    /// A request with a suspected part is refused after it was held for this time.
    std::chrono::milliseconds m_max_suspect_part_hold{2'000};
    /// Retry delay reported for it.
    std::chrono::milliseconds m_suspect_part_retry_after{1'000};
    /// Retry delay reported when no upstream is available.
    std::chrono::milliseconds m_no_upstream_retry_after{250};
    /// Longest time that a stream is held until its version can be chosen.
    std::chrono::milliseconds m_max_version_hold{400};
    /// Interval of checks while it is held.
    std::chrono::milliseconds m_version_recheck_interval{20};
    /// Retry delay reported while the newest configuration is not known.
    std::chrono::milliseconds m_not_ready_retry_after{500};
};

/// How the configuration in force came to this instance, for logs.
struct configuration_origin
{
    row_source m_source = row_source::store;
    core::store_version m_row;      ///< Version of its row.
    std::size_t m_bytes = 0;        ///< Size of the document.
    core::duration m_decode_time{}; ///< Time to decode it.
};

/// State shared by all sessions of one instance; used on one thread only.
struct relay_state
{
    relay_state(boost::asio::io_context& context, const http_codec& codec,
                const upstream_selector_settings& selector, const locality& own_locality,
                core::instance_id self, std::uint64_t seed)
        : m_context(context), m_codec(codec), m_client(context, idle_connections),
          m_selector(selector, own_locality, seed), m_turn_order(self), m_limits(self),
          m_crash_attribution({}, self), m_part_crashes(context, self, m_crash_attribution),
          m_random(seed)
    {}

    /// Cache store in the configuration in force; null when there is none.
    const cache_store* cache_store_in_use() const { return m_routes ? m_routes->store() : nullptr; }

    /// Retry budget of a service.
    recovery::retry_budget& budget_of(const std::string& service);

    /// Time of the clock that instances share; that of this process while the store's is unknown.
    store_time shared_time() const;

    /// An upstream has said of itself in an answer.
    void on_notice(upstream& from, const upstream_notice& notice);

    /// Time until an upstream of a service takes a request of this instance, by the upstreams' own
    /// terms; nothing when these keep none from it, or no time is known.
    std::optional<core::duration> time_to_next_request(const std::string& service) const;

    static constexpr std::size_t idle_connections = 12; ///< Per upstream.

    boost::asio::io_context& m_context;
    const http_codec& m_codec;
    net::http_client m_client; ///< Connections to upstreams.
    relay_session_settings m_session_settings;
    /// Configuration in force; null until the first one.
    std::shared_ptr<const route_table> m_routes;
    configuration_origin m_configuration_origin;
    configuration_freshness m_freshness; ///< Age of the configuration in force.
    std::function<void()> m_on_config;   ///< Told when another configuration is in force.
    upstream_table m_upstreams;
    cached_part_index m_cached_parts; ///< Predicted cache contents.
    upstream_selector m_selector;
    upstream_reach m_reach;            ///< Services that this instance cannot reach.
    standstill_monitor m_standstill;   ///< For how long requests may have waited unread.
    turn_order m_turn_order;           ///< Shares the limits that upstreams name.
    stream_versions m_stream_versions; ///< Software versions at which streams begin and go on.
    admission_policy m_admission;
    limits::demand_share m_limits;                     ///< Rate limits of workspaces.
    recovery::crash_attribution m_crash_attribution;   ///< Finds requests that crash upstreams.
    part_crash_monitor m_part_crashes;                 ///< Finds parts that crash engines.
    recovery::retry_budget_settings m_budget_settings; ///< For each service.
    std::map<std::string, recovery::retry_budget> m_budgets; ///< By service.
    bool m_quarantines_known = true; ///< False until the rows of quarantines were read.
    /// Instances that share the fleet's retry budget, this one included.
    std::uint64_t m_sharing_instances = 1;
    /// Longest time that callers of a route were seen to wait, by route.
    std::map<std::string, std::chrono::milliseconds> m_longest_deadlines;
    std::optional<drain_window> m_drain; ///< Set once this instance is leaving.
    std::map<std::string, target_weights_history> m_target_weights; ///< By model.
    std::set<std::shared_ptr<relay_session>> m_sessions;            ///< Requests in progress.
    bool m_cache_store_reachable = false;                           ///< The cache store responds.
    core::seeded_random m_random;                                   ///< Splits routes by weight.
    observe::metrics m_metrics;
    relay_announcer* m_announcer = nullptr; ///< Null without a fleet.
    engine_control* m_engines = nullptr;    ///< Same.
    peer_source* m_peers = nullptr;         ///< Same.
    plan_source* m_plan_source = nullptr;   ///< Same.
};

} // namespace tarragontrail::relay
