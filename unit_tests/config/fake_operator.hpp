#pragma once

#include "tarragontrail/config/approval_workflow.hpp"
#include "unit_tests/config/fake_platform.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tarragontrail::test {

/// One operator's approval_workflow, connected to a fake platform in virtual time.
class fake_operator
{
public:
    /// Answer to a command; no refusal if it succeeded.
    struct answer
    {
        std::optional<config::approval_refusal> m_refusal;
        std::optional<config::draft_row> m_draft; ///< Draft after the command.
    };

    fake_operator(event_queue& events, fake_platform& platform)
        : m_events(events), m_platform(platform),
          m_approval(config::approval_workflow_settings{}, events.m_random())
    {
        tick();
    }

    config::approval_workflow& core() { return m_approval; }

    /// Answer to a command; none while it is pending.
    std::optional<answer> find(config::command_id command) const
    {
        const auto found = m_answers.find(command);
        return found != m_answers.end() ? std::optional(found->second) : std::nullopt;
    }

    /// Runs until the command is answered.
    answer wait(config::command_id command)
    {
        drain();
        while (!find(command))
        {
            m_events.run_for(std::chrono::milliseconds(50));
        }
        return *find(command);
    }

    /// Submits, reviews and signs off a draft by three operators; returns its name.
    std::string submit_and_approve(const std::string& text,
                                   const std::shared_ptr<const config::bundle>& base)
    {
        const core::time_point now = m_events.now();
        const answer submitted = wait(m_approval.submit("ann", text, base, now));
        std::string draft = submitted.m_draft->m_name;
        wait(m_approval.review(draft, "ben", m_events.now()));
        wait(m_approval.sign_off(draft, "cas", m_events.now()));
        return draft;
    }

    void drain()
    {
        for (config::approval_workflow::action& action : m_approval.take_actions())
        {
            std::visit([this](auto& one) { execute(one); }, action);
        }
    }

private:
    void tick()
    {
        m_approval.on_timer(m_events.now());
        drain();
        m_events.after(std::chrono::milliseconds(50), [this] { tick(); });
    }

    template <class Event>
    void deliver(Event event)
    {
        event();
        drain();
    }

    std::function<void()> lost(config::operation_id operation)
    {
        return
            [=, this] { deliver([&] { m_approval.on_table_failed(operation, m_events.now()); }); };
    }

    void execute(const config::table_read& call)
    {
        const auto done = [this](const config::read_reply& reply) {
            deliver([&] { m_approval.on_table_read(reply, m_events.now()); });
        };
        m_platform.read(call, done, lost(call.m_operation));
    }

    void execute(const config::table_write& call)
    {
        const auto done = [this](const config::write_reply& reply) {
            deliver([&] { m_approval.on_table_written(reply, m_events.now()); });
        };
        m_platform.write(call, done, lost(call.m_operation));
    }

    void execute(const config::object_put& call)
    {
        const config::operation_id operation = call.m_operation;
        m_platform.put(
            call,
            [=, this] { deliver([&] { m_approval.on_object_stored(operation, m_events.now()); }); },
            [=, this] {
                deliver([&] { m_approval.on_object_failed(operation, m_events.now()); });
            });
    }

    void execute(const config::command_done& done)
    {
        m_answers[done.m_command] = {std::nullopt, done.m_draft};
    }

    void execute(const config::command_failed& failed)
    {
        m_answers[failed.m_command] = {failed.m_error.refusal(), std::nullopt};
    }

    event_queue& m_events;
    fake_platform& m_platform;
    config::approval_workflow m_approval;           ///< Decision core under test.
    std::map<config::command_id, answer> m_answers; ///< Answers received so far.
};

} // namespace tarragontrail::test
