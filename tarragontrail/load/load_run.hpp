#pragma once

#include "tarragontrail/load/load_call.hpp"
#include "tarragontrail/load/load_workspace.hpp"

#include <unordered_set>

namespace tarragontrail::load {

/// Whole run: engine statistics, planned requests in time, report.
class load_run
{
public:
    /// Throws setting_error on a list that cannot be used.
    load_run(boost::asio::io_context& context, const config::load_settings& settings);

    /// Starts; the loop is stopped at the end.
    void start();

    /// Ends early: waits for no further answer.
    void stop();

    /// Measures; whole once the loop has stopped.
    const load_report& report() const noexcept { return m_report; }

private:
    using totals_handler = std::function<void(const engine_totals&)>;

    plan_settings make_plan_settings() const;
    std::vector<std::string> workspace_names() const;
    void read_engines(const totals_handler& on_totals);
    void read_services(const std::function<void()>& on_read);
    void read_each(const std::string& addresses,
                   const std::function<void(const nlohmann::json&)>& on_stats,
                   const std::function<void()>& on_all);
    void send_due();
    void send(const planned_request& request);
    void on_ended(const load_call& call);
    std::uint64_t count_distinct(const load_call& call);
    void show_progress();
    void finish();

    static constexpr std::chrono::seconds progress_interval{5};

    boost::asio::io_context& m_context;               ///< Event loop.
    config::load_settings m_settings;                 ///< Settings.
    std::vector<load_workspace> m_workspaces;         ///< In the order of the keys.
    std::vector<std::string> m_regions;               ///< Callers take them in turn.
    request_plan m_plan;                              ///< What to send.
    net::http_client m_client;                        ///< Client of all callers.
    entry_finder m_finder;                            ///< Finds entry instances.
    call_context m_call_context;                      ///< Shared by all calls.
    load_report m_report;                             ///< Measures.
    net::timer m_send_timer;                          ///< Next request, then the drain timeout.
    net::timer m_progress_timer;                      ///< Next progress line.
    engine_totals m_engines_before;                   ///< Engines at the start.
    std::unordered_set<std::uint64_t> m_known_blocks; ///< Blocks of requests that ran.
    core::time_point m_started;                       ///< Start of the plan.
    std::size_t m_next = 0;                           ///< Next request of the plan.
    std::size_t m_active = 0;                         ///< Requests under way.
    bool m_finishing = false;                         ///< The report is being completed.
};

} // namespace tarragontrail::load
