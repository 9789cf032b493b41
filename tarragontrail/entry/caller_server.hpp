#pragma once

#include "tarragontrail/entry/call_session.hpp"
#include "tarragontrail/entry/control_plane.hpp"

#include <atomic>

namespace tarragontrail::entry {

/// Settings of the callers' listener.
struct caller_settings
{
    net::http_server_settings m_server; ///< Bounds on requests.
    session_settings m_session;         ///< Timeouts of attempts.
    completion_limits m_completion;     ///< Bounds on completions.
    std::size_t m_session_limit = 2048; ///< Requests served at once.
};

/// Callers' HTTP listener: completions, plain-service routes, locate.
class caller_server
{
public:
    caller_server(net::duty& callers, control_port& control, control_plane& plane,
                  const caller_settings& settings, observe::metrics& metrics);

    /// Accepts no more connections; running requests go on.
    void stop_accepting();

    /// Requests being served; safe from every thread.
    std::size_t sessions() const noexcept { return m_sessions; }

private:
    void on_request(const std::shared_ptr<net::http_exchange>& exchange);
    void route(const std::shared_ptr<net::http_exchange>& exchange);
    void start_completion(const std::shared_ptr<net::http_exchange>& exchange);
    void start_call(const std::shared_ptr<net::http_exchange>& exchange);
    void locate(const std::shared_ptr<net::http_exchange>& exchange);
    void list_models(const std::shared_ptr<net::http_exchange>& exchange);
    core::request_id next_id();

    net::duty& m_callers;                   ///< Thread of this listener.
    control_port& m_control;                ///< Decisions.
    control_plane& m_plane;                 ///< Asked on its own thread only.
    caller_settings m_settings;             ///< Bounds and timeouts.
    observe::metrics& m_metrics;            ///< Counters.
    net::http_client m_client;              ///< Connections to upstreams.
    std::uint64_t m_id_seed;                ///< Differs between instances and starts.
    std::uint64_t m_requests = 0;           ///< Requests taken on.
    std::atomic<std::size_t> m_sessions{0}; ///< Requests being served.
    net::http_server m_server;              ///< Listener.
};

} // namespace tarragontrail::entry
