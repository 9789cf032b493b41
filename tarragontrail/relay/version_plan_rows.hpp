#pragma once

#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"
#include "tarragontrail/wire/generated_messages.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace tarragontrail::relay {

/// Settings of version_plan_rows.
struct version_plan_rows_settings
{
    version_plan_settings m_plan;
    /// An instance that is not the planner changes a plan that nobody has changed for this long.
    std::chrono::milliseconds m_takeover_delay{1'500};
    /// A plan that is older than this when it is first seen was written late.
    std::chrono::milliseconds m_late_write{1'000};
};

/// Keeps the version plans of services in the platform's table store, and changes them as upstreams
/// of other versions come and go.
///
/// Any instance may change a plan: the row is written only if it is the one that was read.
class version_plan_rows
{
public:
    /// Prefix of the keys of plans in the fleet's table; the service's name follows.
    static constexpr std::string_view key_prefix = "versions/";

    /// `on_written` gets each row that this instance has written.
    version_plan_rows(relay_state& state, table_store& store,
                      std::function<void(const table_row&)> on_written);

    /// A plan's row was read, which has this version.
    void on_row(const wire::version_plan_entry& entry, const core::store_version& version,
                core::time_point now);

    /// Changes plans that no longer fit the upstreams, and writes rows that the table has lost.
    /// `is_planner` tells that this instance is the first one to do so.
    void check(bool is_planner, const table_mirror& fleet, core::time_point now);

    /// Services with resumable streams in the configuration that was checked last.
    const std::set<std::string>& services() const noexcept { return m_services; }

private:
    void check_service(const std::string& service, bool is_planner, const table_mirror& fleet,
                       core::time_point now);
    void write(const std::string& service, const version_plan& plan, const table_mirror& fleet);
    std::map<software_version, std::uint64_t> capacities_of(const std::string& service,
                                                            core::time_point now) const;
    void update_services();

    version_plan_rows_settings m_settings;
    relay_state& m_state;
    table_store& m_store;
    std::function<void(const table_row&)> m_on_written;
    std::shared_ptr<const route_table> m_seen_routes; ///< That m_services was made from.
    std::set<std::string> m_services;                 ///< With resumable streams.
    std::set<std::string> m_written_late;             ///< Services whose plan names a wrong time.
    std::map<std::string, std::uint64_t> m_stored;    ///< Number of the row read last, by service.
    std::set<std::string> m_writing;                  ///< Services with a write under way.
    std::map<std::string, core::time_point> m_due_since; ///< By service, while a change is due.
};

} // namespace tarragontrail::relay
