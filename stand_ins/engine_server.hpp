#pragma once

#include "stand_ins/engine_events.hpp"
#include "stand_ins/engine_orders.hpp"
#include "stand_ins/engine_scheduler.hpp"

#include <deque>

namespace tarragontrail::stand_ins {

/// HTTP front of the stand-in engine: chat, load report, cache events, orders and faults.
class engine_server
{
public:
    engine_server(boost::asio::io_context& context, const config::engine_settings& settings);

    /// Port in use.
    std::uint16_t port() const { return m_server->port(); }

private:
    /// Load report of one moment.
    struct load_sample
    {
        core::time_point m_at;   ///< When it was taken.
        nlohmann::json m_report; ///< Body of the report.
    };

    void handle(const exchange_pointer& exchange);
    void serve(const exchange_pointer& exchange);
    bool serve_control(const exchange_pointer& exchange, std::string_view path);
    void serve_chat(const exchange_pointer& exchange);
    void serve_cancel(const exchange_pointer& exchange, std::string_view id);
    void export_blocks(const exchange_pointer& exchange);
    void import_blocks(const exchange_pointer& exchange);
    void set_faults(const exchange_pointer& exchange);
    void crash();
    void restart();
    void sample_load();
    nlohmann::json load_report() const;
    nlohmann::json lagged_load_report() const;
    nlohmann::json stats() const;

    static constexpr std::chrono::milliseconds sample_interval{25};

    boost::asio::io_context& m_context;         ///< Event loop.
    config::engine_settings m_settings;         ///< Settings.
    block_cache m_cache;                        ///< Prefix cache.
    engine_events m_events;                     ///< Cache events.
    engine_scheduler m_scheduler;               ///< Requests.
    engine_orders m_orders;                     ///< Loaded weights and role.
    net::timer m_sample_timer;                  ///< Next load sample.
    std::deque<load_sample> m_samples;          ///< Load reports not older than the lag.
    std::uint64_t m_incarnation = 0;            ///< Start time; higher after each restart.
    std::uint64_t m_keys_seen = 0;              ///< Requests that carried a caller's key.
    std::uint64_t m_crashes = 0;                ///< Restarts within this process.
    bool m_hung = false;                        ///< Accepts and never answers.
    std::vector<exchange_pointer> m_held;       ///< Requests accepted while hung.
    std::unique_ptr<net::http_server> m_server; ///< Listener.
};

} // namespace tarragontrail::stand_ins
