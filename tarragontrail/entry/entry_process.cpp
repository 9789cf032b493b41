#include "tarragontrail/entry/entry_process.hpp"

#include "tarragontrail/net/client_bounds.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

namespace tarragontrail::entry {
namespace {

/// Tasks that may wait on a duty; new work may fill half of it.
constexpr std::size_t ring_capacity = 16'384;

constexpr std::chrono::milliseconds drain_poll{50};

constexpr double bytes_per_megabyte = 1e6;

/// Parts of the process's memory that connections of callers and of operators, and links of other
/// instances, hold at most.
constexpr double caller_share_of_memory = 0.2;
constexpr double operator_share_of_memory = 0.35;
constexpr double peer_share_of_memory = 0.05;

/// Parts of all connections that each listener takes; the rest is for metrics.
constexpr double caller_part = 0.6;
constexpr double peer_part = 0.25;
constexpr double operator_part = 0.1;

std::size_t share_of_memory(const config::entry_settings& settings, double share)
{
    return static_cast<std::size_t>(settings.m_memory_mb * bytes_per_megabyte * share);
}

net::client_bounds bounds_of(const config::entry_settings& settings)
{
    return {static_cast<std::size_t>(settings.m_memory_mb * bytes_per_megabyte),
            static_cast<std::size_t>(settings.m_descriptors)};
}

std::uint64_t wall_nanoseconds()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(wall).count());
}

membership::member self_of(const config::entry_settings& settings)
{
    membership::member self;
    self.m_name = settings.m_name;
    self.m_region = settings.m_region;
    self.m_failure_domain = settings.m_failure_domain;
    self.m_address = settings.m_address;
    self.m_ports = {static_cast<std::uint16_t>(settings.m_caller_port),
                    static_cast<std::uint16_t>(settings.m_peer_port),
                    static_cast<std::uint16_t>(settings.m_admin_port)};
    // A later start has a later wall-clock time.
    self.m_incarnation = core::incarnation{wall_nanoseconds()};
    return membership::make_member(self);
}

routing::policy_kind policy_of(const std::string& name)
{
    for (const auto kind :
         {routing::policy_kind::random, routing::policy_kind::least_loaded,
          routing::policy_kind::rendezvous, routing::policy_kind::bounded_rendezvous,
          routing::policy_kind::least_cost})
    {
        if (name == routing::to_string(kind))
        {
            return kind;
        }
    }
    throw config::setting_error("routing_policy", name, "unknown policy");
}

control_settings control_settings_of(const config::entry_settings& settings)
{
    control_settings control;
    control.m_freshness.m_max_age = settings.m_key_freshness;
    control.m_limits.m_limits.m_home_count = settings.m_limit_homes;
    control.m_limits.m_limits.m_list_lag = settings.m_list_lag;
    control.m_limits.m_genesis_members = settings.m_genesis_members;
    routing::routing_settings& router = control.m_routing.m_router;
    router.m_policy = policy_of(settings.m_routing_policy);
    router.m_candidates_per_key = settings.m_candidates;
    router.m_lookup_timeout = settings.m_lookup_timeout;
    router.m_recompute_weight = settings.m_recompute_weight;
    router.m_anchor.m_default_depth = settings.m_anchor_depth;
    router.m_region_link_bytes_per_second = settings.m_region_link_bytes_per_s;
    control.m_queue.m_in_flight_tokens = settings.m_engine_in_flight_tokens;
    control.m_links.m_accepted_limit = bounds_of(settings).connections(peer_part);
    control.m_links.m_memory =
        std::make_shared<net::memory_account>(share_of_memory(settings, peer_share_of_memory));
    control.m_links.m_receive_buffer_bytes = net::client_bounds::receive_buffer_bytes;
    return control;
}

caller_settings caller_settings_of(const config::entry_settings& settings)
{
    caller_settings callers;
    callers.m_server.m_header_limit_bytes =
        static_cast<std::uint32_t>(settings.m_header_limit_bytes);
    callers.m_server.m_body_limit_bytes = settings.m_body_limit_bytes;
    callers.m_server.m_read_timeout = settings.m_read_timeout;
    callers.m_server.m_memory =
        std::make_shared<net::memory_account>(share_of_memory(settings, caller_share_of_memory));
    callers.m_session.m_silence = settings.m_upstream_silence;
    callers.m_completion.m_max_output_tokens = settings.m_max_output_tokens;
    callers.m_session_limit = settings.m_session_limit;
    return callers;
}

net::http_server_settings operator_bounds_of(const config::entry_settings& settings)
{
    net::http_server_settings bounds;
    bounds.m_memory =
        std::make_shared<net::memory_account>(share_of_memory(settings, operator_share_of_memory));
    bounds.m_connection_limit = bounds_of(settings).connections(operator_part);
    bounds.m_receive_buffer_bytes = net::client_bounds::receive_buffer_bytes;
    return bounds;
}

} // namespace

entry_process::entry_process(const config::entry_settings& settings)
    : m_settings(settings), m_callers("callers", ring_capacity),
      m_control("control", ring_capacity), m_platform("platform", ring_capacity),
      m_admin("admin", ring_capacity),
      m_exposer(fmt::format("{}:{}", settings.m_address, settings.m_metrics_port), 1),
      m_platform_client(m_platform, m_control, net::parse_endpoint(settings.m_platform),
                        settings.m_platform_timeout),
      m_plane(m_control, m_callers, m_platform_client, m_metrics, self_of(settings),
              control_settings_of(settings)),
      m_port(m_control, m_plane.completions(), m_plane.calls()),
      m_caller_server(m_callers, m_port, m_plane, caller_settings_of(settings), m_metrics),
      m_admin_server(m_admin, m_port, m_plane, m_caller_server,
                     operator_directory(settings.m_operators), operator_bounds_of(settings)),
      m_signals(m_main, SIGTERM, SIGINT), m_timer(m_main)
{
    m_exposer.RegisterCollectable(m_metrics.registry());
}

entry_process::~entry_process() = default;

bool entry_process::run()
{
    m_control.post([this] { m_plane.start(); });
    for (net::duty* each : {&m_callers, &m_control, &m_platform, &m_admin})
    {
        each->start();
    }
    observe::log("started", {{"region", m_settings.m_region},
                             {"failure_domain", m_settings.m_failure_domain},
                             {"caller_port", m_settings.m_caller_port},
                             {"admin_port", m_settings.m_admin_port}});
    m_signals.async_wait([this](boost::system::error_code error, int /*signal*/) {
        if (!error)
        {
            start_drain();
        }
    });
    m_main.run();

    // Callers first, so that nothing new reaches the others while they stop.
    for (net::duty* each : {&m_callers, &m_admin, &m_control, &m_platform})
    {
        each->stop();
    }
    observe::log("stopped", {{"cut_nothing", m_cut_nothing}});
    return m_cut_nothing;
}

void entry_process::start_drain()
{
    observe::log("draining", {{"requests", m_caller_server.sessions()}});
    const core::time_point now = core::runtime_clock::now();
    m_linger_end = now + m_settings.m_drain_linger;
    m_drain_end = m_linger_end + m_settings.m_drain_timeout;
    m_admin_server.set_draining();
    m_control.post([this] { m_plane.leave(); });
    check_drained();
}

void entry_process::check_drained()
{
    // Callers with an older answer to locate are served until the linger time is over.
    const core::time_point now = core::runtime_clock::now();
    if (m_accepting && now >= m_linger_end)
    {
        m_accepting = false;
        m_callers.post([this] { m_caller_server.stop_accepting(); });
    }
    if (!m_accepting && m_caller_server.sessions() == 0 && m_plane.open_calls() == 0)
    {
        finish(true);
        return;
    }
    if (now >= m_drain_end)
    {
        finish(m_caller_server.sessions() == 0);
        return;
    }
    m_timer.run_after(drain_poll, [this] { check_drained(); });
}

void entry_process::finish(bool cut_nothing)
{
    m_cut_nothing = cut_nothing;
    m_main.stop();
}

} // namespace tarragontrail::entry
