#include "tarragontrail/config/approval_workflow.hpp"

#include "tarragontrail/config/bundle_delta.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace tarragontrail::config {

approval_workflow::approval_workflow(const approval_workflow_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{}

command_id approval_workflow::submit(const std::string& author, const std::string& text,
                                     const std::shared_ptr<const bundle>& current,
                                     core::time_point now)
{
    // The document is stored in normal form, so that the result of a delta can be verified by its
    // digest.
    const bundle next = parse_bundle(text);
    check_successor(current ? *current : bundle(), next);
    command started;
    started.m_kind = kind::submit;
    started.m_phase = phase::put_bundle;
    started.m_bundle_text = serialize(next);
    draft_row draft;
    draft.m_name = fmt::format("{:016x}", m_random());
    draft.m_author = author;
    draft.m_steps = next.m_rollout;
    draft.m_ref.m_version = next.m_version;
    draft.m_ref.m_object = object_name("bundle", started.m_bundle_text);
    if (current)
    {
        started.m_delta_text = make_delta(*current, next);
        draft.m_ref.m_base_version = current->m_version;
        draft.m_ref.m_delta_object = object_name("change", started.m_delta_text);
    }
    started.m_draft_name = draft.m_name;
    started.m_draft = std::move(draft);
    return start(std::move(started), now);
}

command_id approval_workflow::review(const std::string& draft, const std::string& reviewer,
                                     core::time_point now)
{
    command started;
    started.m_kind = kind::review;
    started.m_phase = phase::read_draft;
    started.m_draft_name = draft;
    started.m_operator = reviewer;
    return start(std::move(started), now);
}

command_id approval_workflow::sign_off(const std::string& draft, const std::string& signer,
                                       core::time_point now)
{
    command started;
    started.m_kind = kind::sign_off;
    started.m_phase = phase::read_draft;
    started.m_draft_name = draft;
    started.m_operator = signer;
    return start(std::move(started), now);
}

command_id approval_workflow::start_rollout(const std::string& draft,
                                            const std::shared_ptr<const bundle>& current,
                                            core::time_point now)
{
    command started;
    started.m_kind = kind::start_rollout;
    started.m_phase = phase::read_draft;
    started.m_draft_name = draft;
    started.m_current = current;
    return start(std::move(started), now);
}

command_id approval_workflow::advance_rollout(std::uint64_t version, std::uint64_t from_step,
                                              core::time_point now)
{
    command started;
    started.m_kind = kind::advance_rollout;
    started.m_phase = phase::read_head;
    started.m_version = version;
    started.m_from_step = from_step;
    return start(std::move(started), now);
}

command_id approval_workflow::status(const std::string& draft, core::time_point now)
{
    command started;
    started.m_kind = kind::status;
    started.m_phase = draft.empty() ? phase::read_head : phase::read_draft;
    started.m_draft_name = draft;
    return start(std::move(started), now);
}

void approval_workflow::on_table_read(const read_reply& reply, core::time_point now)
{
    command* running = find_command(reply.m_operation);
    if (running == nullptr)
    {
        return;
    }
    if (running->m_write)
    {
        finish_write(*running, running->m_write->on_read(reply), now);
    }
    else if (running->m_phase == phase::read_draft)
    {
        on_draft_read(*running, reply, now);
    }
    else
    {
        on_head_read(*running, reply, now);
    }
    drop_finished();
}

void approval_workflow::on_table_written(const write_reply& reply, core::time_point now)
{
    command* running = find_command(reply.m_operation);
    if (running == nullptr || !running->m_write)
    {
        return;
    }
    finish_write(*running, running->m_write->on_written(reply), now);
    drop_finished();
}

void approval_workflow::on_table_failed(operation_id operation, core::time_point now)
{
    command* running = find_command(operation);
    if (running == nullptr)
    {
        return;
    }
    if (running->m_write)
    {
        running->m_write->on_failed();
    }
    retry(*running, now);
}

void approval_workflow::on_object_stored(operation_id operation, core::time_point now)
{
    command* running = find_command(operation);
    if (running == nullptr)
    {
        return;
    }
    if (running->m_phase == phase::put_head_copy)
    {
        running->m_phase = phase::finished;
    }
    else if (running->m_phase == phase::put_bundle && !running->m_delta_text.empty())
    {
        enter_phase(*running, phase::put_delta, now);
    }
    else
    {
        begin_draft_write(*running, 0, now);
    }
    drop_finished();
}

void approval_workflow::on_object_failed(operation_id operation, core::time_point now)
{
    if (command* running = find_command(operation); running != nullptr)
    {
        retry(*running, now);
    }
}

void approval_workflow::on_timer(core::time_point now)
{
    for (command& running : m_commands)
    {
        if (running.m_deadline <= now)
        {
            fail_expired(running);
            continue;
        }
        if (running.m_next_call_at > now)
        {
            continue;
        }
        if (running.m_operation && running.m_write)
        {
            running.m_write->on_failed();
        }
        issue_call(running, now);
    }
    drop_finished();
}

std::vector<approval_workflow::action> approval_workflow::take_actions()
{
    return std::exchange(m_actions, {});
}

std::optional<core::time_point> approval_workflow::next_deadline() const
{
    std::optional<core::time_point> next;
    for (const command& running : m_commands)
    {
        const core::time_point at = std::min(running.m_next_call_at, running.m_deadline);
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

command_id approval_workflow::start(command started, core::time_point now)
{
    started.m_id = command_id{++m_last_command};
    started.m_deadline = now + m_settings.m_command_timeout;
    issue_call(m_commands.emplace_back(std::move(started)), now);
    return command_id{m_last_command};
}

approval_workflow::command* approval_workflow::find_command(operation_id operation)
{
    const auto found =
        std::find_if(m_commands.begin(), m_commands.end(), [operation](const command& running) {
            return running.m_operation == operation;
        });
    return found != m_commands.end() ? &*found : nullptr;
}

void approval_workflow::drop_finished()
{
    std::erase_if(m_commands, [](const command& each) { return each.m_phase == phase::finished; });
}

} // namespace tarragontrail::config
