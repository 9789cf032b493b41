#pragma once

#include "tarragontrail/config/generated_entry_settings.hpp"
#include "tarragontrail/entry/admin_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <memory>
#include <prometheus/exposer.h>

namespace tarragontrail::entry {

/// One entry instance: its threads, listeners and the course of a graceful shutdown.
class entry_process
{
public:
    explicit entry_process(const config::entry_settings& settings);
    ~entry_process();

    /// Serves until SIGTERM or SIGINT and the drain that follows; returns whether the drain cut
    /// no request.
    bool run();

private:
    void start_drain();
    void check_drained();
    void finish(bool cut_nothing);

    config::entry_settings m_settings; ///< Settings.
    net::duty m_callers;               ///< Callers and upstreams.
    net::duty m_control;               ///< Decisions and other instances.
    net::duty m_platform;              ///< Platform's services.
    net::duty m_admin;                 ///< Operators.
    observe::metrics m_metrics;        ///< Counters.
    prometheus::Exposer m_exposer;     ///< Metrics' listener, with threads of its own.
    platform_client m_platform_client; ///< Platform's services.
    control_plane m_plane;             ///< Decisions.
    control_port m_port;               ///< Way to the decisions.
    caller_server m_caller_server;     ///< Callers' listener.
    admin_server m_admin_server;       ///< Operators' listener.
    boost::asio::io_context m_main;    ///< Signals and drain.
    boost::asio::signal_set m_signals; ///< SIGTERM and SIGINT.
    net::timer m_timer;                ///< Next look at the drain.
    core::time_point m_linger_end{};   ///< End of serving new connections.
    core::time_point m_drain_end{};    ///< Latest end of the drain.
    bool m_accepting = true;           ///< New connections are taken.
    bool m_cut_nothing = true;         ///< The drain ended with no request left.
};

} // namespace tarragontrail::entry
