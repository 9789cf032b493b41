#pragma once

#include "tarragontrail/net/http_client.hpp"
#include "tarragontrail/net/sse_reader.hpp"
#include "tarragontrail/routing/cached_block_index.hpp"
#include "tarragontrail/routing/engine_entry.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tarragontrail::entry {

/// Load report as an engine gave it, with the weights that it holds.
struct engine_report
{
    routing::load_report m_load;         ///< Load.
    std::uint64_t m_weights_version = 0; ///< Version of the weights loaded.
    std::uint64_t m_sequence = 0;        ///< Last cache event used; zero if not told.
};

/// Settings of one engine's watcher.
struct engine_watcher_settings
{
    std::chrono::milliseconds m_load_interval{200};     ///< Time between load reports.
    std::chrono::milliseconds m_stream_silence{15'000}; ///< A silent event stream is opened anew.
    std::chrono::milliseconds m_retry{500};             ///< Pause after a failed call.
    routing::cached_block_index_settings m_index;       ///< Block index.
};

/// Follows one engine's cache events and load for the whole fleet, on the control thread.
class engine_watcher : public std::enable_shared_from_this<engine_watcher>
{
public:
    /// Told of each load report; nothing stands for a report that did not come.
    using report_handler = std::function<void(const std::optional<engine_report>&)>;

    engine_watcher(net::http_client& client, core::upstream_id engine,
                   const net::tcp::endpoint& endpoint, const engine_watcher_settings& settings,
                   report_handler on_report);
    ~engine_watcher();
    engine_watcher(const engine_watcher&) = delete;
    engine_watcher& operator=(const engine_watcher&) = delete;

    /// Opens the event stream and asks for the load; further work follows on the timer.
    void start(core::time_point now);

    /// Ends all calls.
    void stop();

    std::optional<core::time_point> next_deadline() const;
    void on_timer(core::time_point now);

    /// Blocks that the engine holds.
    const routing::cached_block_index& index() const noexcept { return m_index; }

    /// Last load report; none before the first.
    const std::optional<engine_report>& report() const noexcept { return m_report; }

private:
    class stream_listener;

    void open_stream();
    void on_stream_data(std::string_view data);
    void on_stream_closed();
    void ask_load(core::time_point now);
    void on_load(const net::http_client::fetch_result& result, core::time_point asked_at);
    void ask_snapshot();
    void on_snapshot(const net::http_client::fetch_result& result);
    void run_index_actions();

    net::http_client& m_client;                    ///< Connections.
    core::upstream_id m_engine;                    ///< Engine.
    net::tcp::endpoint m_endpoint;                 ///< Its address.
    engine_watcher_settings m_settings;            ///< Intervals.
    report_handler m_on_report;                    ///< Told of reports.
    routing::cached_block_index m_index;           ///< Blocks held.
    net::sse_reader m_reader;                      ///< Events of the stream.
    std::shared_ptr<net::http_call> m_stream;      ///< Event stream under way.
    std::shared_ptr<net::http_call> m_load;        ///< Load call under way.
    std::shared_ptr<net::http_call> m_snapshot;    ///< Snapshot under way.
    std::optional<engine_report> m_report;         ///< Last load report.
    core::time_point m_next_load{};                ///< Next load call.
    std::optional<core::time_point> m_next_stream; ///< Next try to open the stream.
    bool m_stopped = false;                        ///< No further calls.
};

/// Reads a load report; throws wire::json_error on anything else.
engine_report parse_engine_report(const std::string& body, core::time_point reported_at);

} // namespace tarragontrail::entry
