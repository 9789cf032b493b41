#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/limits/admission_control.hpp"
#include "unit_tests/limits/fake_timeline.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace tarragontrail::limits {

/// Fleet of admission_control objects that can be started, stopped, paused and replaced.
class fake_fleet : public fake_timeline
{
public:
    using call = std::function<void(admission_control&, core::time_point)>;

    /// Creates `count` stopped instances, alternating between regions 0 and 1.
    fake_fleet(const limit_settings& settings, std::size_t count, bool ids_are_unique,
               std::uint64_t seed)
        : m_settings(settings), m_random(seed), m_ids_are_unique(ids_are_unique), m_nodes(count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            m_members.push_back({core::instance_id{100 + index}, core::region_id{index % 2}});
            m_nodes[index].m_offset = std::chrono::seconds(m_random.below(1000));
        }
        m_genesis = m_members;
    }

    virtual ~fake_fleet() = default;

    void pause(std::size_t index, core::duration span)
    {
        m_nodes[index].m_paused_until = m_now + span;
    }
    void stop(std::size_t index)
    {
        m_nodes[index].m_control.reset();
        m_nodes[index].m_changes.push_back(m_now);
    }
    void start(std::size_t index)
    {
        node& started = m_nodes[index];
        if (started.m_control)
        {
            stop(index);
        }
        started.m_changes.push_back(m_now);
        started.m_timer.reset();
        started.m_control = std::make_unique<admission_control>(
            m_settings, m_members[index].m_instance, m_random());
        ++started.m_incarnation;
        const core::time_point now = m_now + started.m_offset;
        started.m_control->set_genesis(m_genesis, now);
        if (m_ids_are_unique)
        {
            started.m_control->on_rows_loaded(now);
        }
        initialize_instance(index);
    }

    /// Restarts every running instance.
    void restart_all()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
        {
            if (is_up(index))
            {
                start(index);
            }
        }
    }

    /// Stops an instance permanently and starts a new one with a new id.
    void replace(std::size_t index)
    {
        stop(index);
        m_members[index].m_instance = core::instance_id{0};
        const std::size_t added = m_nodes.size();
        m_members.push_back({core::instance_id{100 + added}, core::region_id{added % 2}});
        m_nodes.emplace_back();
        ++m_view;
        start(added);
    }

    bool is_up(std::size_t index) const { return m_nodes[index].m_control != nullptr; }
    std::size_t size() const { return m_nodes.size(); }
    const std::vector<member>& members() const { return m_members; }
    const admission_control* control(std::size_t index) const
    {
        return m_nodes[index].m_control.get();
    }

protected:
    /// Delivers the initial state to a started instance.
    virtual void initialize_instance(std::size_t index) = 0;

    /// Executes the actions of an instance.
    virtual void execute_actions(std::size_t index, std::vector<action> actions) = 0;

    bool chance(double probability) { return m_random.unit() < probability; }

    bool is_listed(std::size_t index, core::time_point when) const
    {
        const std::vector<core::time_point>& changes = m_nodes[index].m_changes;
        return std::count_if(changes.begin(), changes.end(),
                             [&](core::time_point change) { return change <= when; }) %
                   2 ==
               1;
    }

    /// Runs a call at an instance: after its pause if it is paused, not at all if it is stopped.
    void deliver(std::size_t index, const call& run)
    {
        node& receiver = m_nodes[index];
        if (!receiver.m_control)
        {
            return;
        }
        if (receiver.m_paused_until > m_now)
        {
            at(receiver.m_paused_until, [this, index, run, process = receiver.m_incarnation] {
                deliver_to(index, process, run);
            });
            return;
        }
        run(*receiver.m_control, m_now + receiver.m_offset);
        process_actions(index);
    }

    /// Runs a call at an instance unless it was restarted since.
    void deliver_to(std::size_t index, std::uint64_t process, const call& run)
    {
        if (m_nodes[index].m_incarnation == process)
        {
            deliver(index, run);
        }
    }

    void process_actions(std::size_t index)
    {
        execute_actions(index, m_nodes[index].m_control->take_actions());
        const std::optional<core::time_point> due = m_nodes[index].m_control->next_deadline();
        if (!due)
        {
            return;
        }
        const core::time_point when = std::max(m_now, *due - m_nodes[index].m_offset);
        if (m_nodes[index].m_timer && *m_nodes[index].m_timer <= when)
        {
            return;
        }
        m_nodes[index].m_timer = when;
        at(when, [this, index, when, process = m_nodes[index].m_incarnation] {
            if (m_nodes[index].m_timer != when)
            {
                return;
            }
            m_nodes[index].m_timer.reset();
            deliver_to(index, process, [](admission_control& control, core::time_point now) {
                control.on_timer(now);
            });
        });
    }

    std::uint64_t process_of(std::size_t index) const { return m_nodes[index].m_incarnation; }
    core::time_point local_time(std::size_t index) const { return m_now + m_nodes[index].m_offset; }

    limit_settings m_settings;     ///< Shared by all instances.
    core::seeded_random m_random;  ///< Source of all randomness.
    std::vector<member> m_members; ///< A replaced instance has id zero.
    std::uint64_t m_view = 1;      ///< Number of the current membership view.

private:
    struct node
    {
        std::unique_ptr<admission_control> m_control;
        core::duration m_offset{}; ///< Its clock minus the simulation's clock.
        core::time_point m_paused_until{};
        std::uint64_t m_incarnation = 0;
        std::optional<core::time_point> m_timer; ///< Time of its earliest queued timer event.
        std::vector<core::time_point> m_changes; ///< Times of starts and stops, alternating.
    };

    bool m_ids_are_unique;         ///< Instance ids are never reused.
    std::vector<member> m_genesis; ///< Members of the genesis view.
    std::vector<node> m_nodes;     ///< Includes stopped instances.
};

} // namespace tarragontrail::limits
