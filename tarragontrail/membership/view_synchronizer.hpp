#pragma once

#include "tarragontrail/config/platform_calls.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/membership/messages.hpp"
#include "tarragontrail/membership/view.hpp"
#include "tarragontrail/membership/view_change.hpp"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace tarragontrail::membership {

/// Timing of view_synchronizer.
struct view_synchronizer_settings
{
    std::chrono::milliseconds m_poll_interval{2000}; ///< Mean interval of version reads.
    /// Largest age of the reading that a write is based on.
    std::chrono::milliseconds m_max_read_age{250};
    std::chrono::milliseconds m_call_timeout{1500}; ///< Timeout of a call to the table service.
    /// Largest delay of the preferred writer.
    std::chrono::milliseconds m_max_first_writer_delay{200};
    /// Largest additional delay of the others.
    std::chrono::milliseconds m_max_other_writer_delay{4000};
    /// Added to m_max_other_writer_delay per change.
    std::chrono::milliseconds m_delay_per_change{50};
};

/// Action: a newer view was installed.
struct view_changed
{
    std::shared_ptr<const view> m_view;
};

/// Action: request a peer's view.
struct send_view_request
{
    core::instance_id m_to{};
    view_request m_message;
};

/// Action: answer a peer's view_request.
struct send_view_answer
{
    core::instance_id m_to{};
    view_answer m_message;
};

/// Keeps one instance's copy of the view up to date and writes needed changes to the table service.
///
/// Installs newer views read from the table service or received from peers. All writes are
/// conditional on the version read, so concurrent writers cannot overwrite each other. Performs no
/// I/O: the I/O layer carries out take_actions() and reports the results.
class view_synchronizer
{
public:
    using action = std::variant<config::table_read, config::table_write, view_changed,
                                send_view_request, send_view_answer>;

    view_synchronizer(const view_synchronizer_settings& settings, core::instance_id self,
                      std::uint64_t seed);

    /// Schedules the first poll.
    void start(core::time_point now);

    /// Ends a call that timed out; starts the next write or poll when it is due.
    void on_timer(core::time_point now);

    /// Results of calls to the table service.
    void on_table_read(const config::read_reply& reply, core::time_point now);
    void on_table_written(const config::write_reply& reply, core::time_point now);
    void on_table_failed(config::operation_id operation, core::time_point now);

    /// Replaces the set of changes that the view needs.
    void set_needed_changes(std::vector<view_change> changes, core::time_point now);

    /// A peer reported this view number; its view is requested if the number is higher than the
    /// own.
    void on_peer_view(core::instance_id peer, core::view_number number, core::time_point now);

    void on_view_request(const view_request& request);
    void on_view_answer(const view_answer& answer, core::time_point now);

    /// Whether a message that grants or orders something may be obeyed: its view must not be older
    /// than any view number seen so far. Records the number.
    bool accept_view_number(core::view_number number) noexcept;

    /// Current view; never null; its number is zero before the first view is installed.
    const std::shared_ptr<const view>& current() const noexcept { return m_view; }

    /// Time since the table service last confirmed the view; none before the first reply.
    std::optional<core::duration> age(core::time_point now) const;

    /// Returns and clears the actions that the I/O layer must carry out.
    std::vector<action> take_actions();

    /// Time at which on_timer() must be called next.
    std::optional<core::time_point> next_deadline() const;

private:
    /// Call to the table service without a reply yet.
    struct pending_call
    {
        config::operation_id m_operation{};
        core::time_point m_sent_at{}; ///< Time of the call.
        bool m_write = false;         ///< Whether it is a write.
        std::string m_row;            ///< Text being written.
    };

    void read(bool version_only, core::time_point now);
    void write(core::time_point now);
    void install_view(const std::string& row, std::uint64_t revision);
    void schedule_write(core::time_point now);
    core::duration write_delay();
    core::duration random_duration(core::duration longest);

    view_synchronizer_settings m_settings;
    core::instance_id m_self;
    core::seeded_random m_random; ///< Source of jitter.
    std::shared_ptr<const view> m_view;
    std::string m_row;                         ///< Text of the view's row.
    std::uint64_t m_revision = 0;              ///< Version of the row in the table service.
    core::view_number m_highest_seen{};        ///< Highest view number seen so far.
    std::vector<view_change> m_needed_changes; ///< Changes not yet in the view.
    std::optional<pending_call> m_pending_call;
    /// Time of the last call whose reply confirmed the view.
    std::optional<core::time_point> m_confirmed_at;
    core::time_point m_next_request{};          ///< Earliest time of the next view_request.
    core::time_point m_next_poll{};             ///< Time of the next version read.
    std::optional<core::time_point> m_write_at; ///< Time of the next write, if one is planned.
    std::uint64_t m_last_operation = 0;         ///< Last operation id used.
    std::vector<action> m_actions;              ///< Actions not yet returned by take_actions().
};

} // namespace tarragontrail::membership
