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
    /// After a return of the store instances that know more than it write within this time.
    std::chrono::milliseconds m_rewrite_spread{400};
    /// A plan that replaces lost ones has a number this much higher, so that it is higher than
    /// theirs.
    std::uint64_t m_lost_numbers = 1'000;
};

/// Keeps the version plans of services in the platform's table store, and changes them as upstreams
/// of other versions come and go.
///
/// Any instance may change a plan: the row is written only if it is the one that was read.
///
/// When the table store comes back from an older copy, plans that were in use may be lost. So a row
/// names the era in which it was written and the time from which on it shows all plans, and one
/// that was written in an earlier era tells an instance nothing that knows no plan of its own.
/// Instances that know more write it; if nobody does, the plan begins anew.
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

    /// The first whole table of an era was read, ahead of its rows.
    void begin_era(const table_mirror& fleet, core::time_point now);

    /// Changes plans that no longer fit the upstreams, and writes rows that the table has lost.
    /// `is_planner` tells that this instance is the first one to do so.
    void check(bool is_planner, const table_mirror& fleet, core::time_point now);

    /// Services with resumable streams in the configuration that was checked last.
    const std::set<std::string>& services() const noexcept { return m_services; }

private:
    /// Row of a plan that was read last.
    struct read_row
    {
        core::store_version m_version;
        version_plan m_plan;
        /// Written in the era in which it was read: no plan was lost since.
        bool m_is_of_era = false;
        /// It does not show all plans that this instance knows to have been in use.
        bool m_is_lacking = false;
    };

    /// Plan to be written, once it has been due for a while.
    struct due_plan
    {
        version_plan m_plan;
        core::duration m_delay{};
    };

    void check_service(const std::string& service, bool is_planner, const table_mirror& fleet,
                       core::time_point now);
    std::optional<due_plan> due_change(const std::string& service, bool is_planner,
                                       const table_mirror& fleet, store_time store_now,
                                       core::time_point now) const;
    std::optional<due_plan> due_first_plan(const std::string& service, bool is_planner,
                                           const table_mirror& fleet, store_time store_now,
                                           core::time_point now) const;
    version_plan plan_after(const read_row& row, const version_plan& known, bool is_return,
                            bool is_informed, bool is_late, store_time store_now) const;
    void take(const std::string& service, const version_plan& plan, const read_row& row,
              bool is_late, core::time_point now);
    void write(const std::string& service, const version_plan& plan, const table_mirror& fleet,
               store_time store_now);
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
    std::map<std::string, read_row> m_read;           ///< By service.
    /// Part of the rewrite spread after which this instance writes.
    core::duration m_rewrite_delay{};
    std::set<std::string> m_writing;                     ///< Services with a write under way.
    std::map<std::string, core::time_point> m_due_since; ///< By service, while a change is due.
};

} // namespace tarragontrail::relay
