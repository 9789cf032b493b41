#pragma once

#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/entry/control_service.hpp"
#include "tarragontrail/limits/admission_control.hpp"

#include <vector>

namespace tarragontrail::entry {

/// Told of admission decisions, on the control thread.
class limits_listener
{
public:
    virtual ~limits_listener() = default;

    virtual void on_admitted(const limits::admitted& decision) = 0;
    virtual void on_limit_refused(const limits::refused& decision) = 0;

    /// A share row that this instance wrote is to be spread to all instances.
    virtual void on_share_row_written(const limits::share_row& row) = 0;
};

/// Settings of limits_service.
struct limits_service_settings
{
    limits::limit_settings m_limits;   ///< Fleet-wide rate and burst.
    std::size_t m_genesis_members = 3; ///< Members that the first division of limits waits for.
    std::chrono::milliseconds m_retry{1000}; ///< Pause after a failed call to the table.
};

/// Fleet-wide rate and burst of this instance: admission, loans and moves of shares.
class limits_service : public control_service
{
public:
    limits_service(control_context& context, const limits_service_settings& settings,
                   limits_listener& listener, std::uint64_t seed);

    void start(core::time_point now);

    /// Applies the workspaces of a bundle.
    void on_bundle(const config::bundle& applied, core::time_point now);

    /// A newer view is in force here.
    void on_view(const membership::view& current, core::time_point now);

    /// The platform's list was read by a query sent at `asked_at`.
    void on_instance_list(const std::vector<membership::listed_instance>& listed,
                          core::time_point asked_at, core::time_point now);

    /// A share row that another instance wrote.
    void on_share_row(const limits::share_row& row, core::time_point now);

    /// Takes a message of this service's kinds; returns false for others.
    bool on_message(core::instance_id from, const wire::message& message, core::time_point now);

    /// Admission of requests.
    limits::admission_control& admission() noexcept { return m_admission; }

    /// Whether the first division of limits is known.
    bool ready() const noexcept { return m_genesis_known; }

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    template <class Action>
    void carry_out(const Action& action);
    void read_rows();
    void read_genesis();
    void write_genesis();
    void adopt_genesis(const std::string& text);
    void read_row(core::workspace_id workspace);
    void write_row(const limits::write_share_row& action);
    void retry_later(core::time_point now);

    control_context& m_context;                   ///< Shared means.
    limits_service_settings m_settings;           ///< Settings.
    limits_listener& m_listener;                  ///< Told of decisions.
    limits::admission_control m_admission;        ///< Decisions.
    std::vector<limits::member> m_members;        ///< Members of the view.
    std::vector<core::workspace_id> m_workspaces; ///< Workspaces of the bundle in force.
    std::size_t m_listed = 0;                     ///< Instances on the platform's list.
    bool m_rows_known = false;                    ///< Rows written before the start were read.
    bool m_genesis_known = false;                 ///< First division is known.
    bool m_genesis_pending = false;               ///< A call for it is under way.
    bool m_genesis_absent = false;                ///< The table has no first division.
    std::optional<core::time_point> m_retry_at;   ///< Next try after a failed call.
};

} // namespace tarragontrail::entry
