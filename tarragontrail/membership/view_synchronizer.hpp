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

/// Settings of view_synchronizer.
struct view_synchronizer_settings
{
    std::chrono::milliseconds m_poll_interval{2000}; ///< Interval of version polls.
    std::chrono::milliseconds m_max_read_age{250};   ///< Oldest reading to base a write on.
    std::chrono::milliseconds m_call_timeout{1500};  ///< Wait for a reply of the table service.
    std::chrono::milliseconds m_max_first_writer_delay{
        200}; ///< Largest delay of the first to write.
    std::chrono::milliseconds m_max_other_writer_delay{
        4000};                                        ///< Largest further delay of the others.
    std::chrono::milliseconds m_delay_per_change{50}; ///< Added to it for each change needed.
};

/// Action: a newer view is in force here.
struct view_changed
{
    std::shared_ptr<const view> m_view; ///< The view.
};

/// Action: ask a peer for its view.
struct send_view_request
{
    core::instance_id m_to{}; ///< Receiver.
    view_request m_message;   ///< Message.
};

/// Action: answer a peer's view_request.
struct send_view_answer
{
    core::instance_id m_to{}; ///< Receiver.
    view_answer m_message;    ///< Message.
};

/// Keeps one instance's copy of the agreed view and moves it when it needs a change.
class view_synchronizer
{
public:
    using action = std::variant<config::table_read, config::table_write, view_changed,
                                send_view_request, send_view_answer>;

    view_synchronizer(const view_synchronizer_settings& settings, core::instance_id self,
                      std::uint64_t seed);

    void start(core::time_point now);
    void on_timer(core::time_point now);
    void on_table_read(const config::read_reply& reply, core::time_point now);
    void on_table_written(const config::write_reply& reply, core::time_point now);
    void on_table_failed(config::operation_id operation, core::time_point now);

    /// Changes that the view needs by now; replaces what was needed before.
    void set_needed_changes(std::vector<view_change> changes, core::time_point now);

    /// A peer carried this view number; a higher one than the own is asked for.
    void on_peer_view(core::instance_id peer, core::view_number number, core::time_point now);

    void on_view_request(const view_request& request);
    void on_view_answer(const view_answer& answer, core::time_point now);

    /// Whether a message that grants or orders may be obeyed: its view is not older than any
    /// seen.
    bool accept_view_number(core::view_number number) noexcept;

    /// Current view; never null, number zero before the first.
    const std::shared_ptr<const view>& current() const noexcept { return m_view; }

    /// Age of the table service's word on the view; none before the first.
    std::optional<core::duration> age(core::time_point now) const;

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// Call to the table service that awaits its reply.
    struct pending_call
    {
        config::operation_id m_operation{}; ///< Its operation.
        core::time_point m_sent_at{};       ///< Moment of the call.
        bool m_write = false;               ///< Whether it is a write.
        std::string m_row;                  ///< Row text being written.
    };

    void read(bool version_only, core::time_point now);
    void write(core::time_point now);
    void install_view(const std::string& row, std::uint64_t revision);
    void schedule_write(core::time_point now);
    core::duration write_delay();
    core::duration random_duration(core::duration longest);

    view_synchronizer_settings m_settings;          ///< Intervals.
    core::instance_id m_self;                       ///< This instance.
    core::seeded_random m_random;                   ///< Jitter.
    std::shared_ptr<const view> m_view;             ///< Current view.
    std::string m_row;                              ///< Text of its row.
    std::uint64_t m_revision = 0;                   ///< Table version of its row.
    core::view_number m_highest_seen{};             ///< Highest number seen anywhere.
    std::vector<view_change> m_needed_changes;      ///< Changes that the view needs.
    std::optional<pending_call> m_pending_call;     ///< Call under way.
    std::optional<core::time_point> m_confirmed_at; ///< Moment of the service's last word.
    core::time_point m_next_request{};              ///< Earliest moment of the next view_request.
    core::time_point m_next_poll{};                 ///< Moment of the next poll.
    std::optional<core::time_point> m_write_at;     ///< Moment of the next write.
    std::uint64_t m_last_operation = 0;             ///< Last operation id given.
    std::vector<action> m_actions;                  ///< Actions not yet taken.
};

} // namespace tarragontrail::membership
