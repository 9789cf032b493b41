// Part of approval_workflow that runs a command through its phases.
#include "tarragontrail/config/approval_workflow.hpp"
#include "tarragontrail/config/withdrawal_set.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::config {

namespace {

write_history history_of_draft(const std::string& value)
{
    return parse_draft_row(value).m_history;
}

write_history history_of_head(const std::string& value)
{
    return parse_head_row(value).m_history;
}

/// Whether every instance that applies the bundle rejects the key even without the withdrawal.
bool supersedes_withdrawal(const bundle& current, const withdrawal& held)
{
    const auto key =
        std::find_if(current.m_keys.begin(), current.m_keys.end(), [&](const key_entry& each) {
            return prefix_of(each.m_digest) == prefix_of(held);
        });
    if (key != current.m_keys.end())
    {
        return key->m_state == key_state::withdrawn;
    }
    return current.m_version > held.m_bundle_version;
}

} // namespace

void approval_workflow::issue_call(command& running, core::time_point now)
{
    const operation_id operation{++m_last_operation};
    running.m_operation = operation;
    running.m_next_call_at = now + m_settings.m_call_timeout;
    if (running.m_write)
    {
        std::visit([this](auto call) { m_actions.emplace_back(std::move(call)); },
                   running.m_write->next(operation));
        return;
    }
    switch (running.m_phase)
    {
    case phase::put_bundle:
        m_actions.emplace_back(
            object_put{operation, running.m_draft->m_ref.m_object, running.m_bundle_text});
        return;
    case phase::put_delta:
        m_actions.emplace_back(
            object_put{operation, running.m_draft->m_ref.m_delta_object, running.m_delta_text});
        return;
    case phase::put_head_copy:
        m_actions.emplace_back(
            object_put{operation, head_copy_object, serialize_head_row(*running.m_head)});
        return;
    case phase::read_draft:
        m_actions.emplace_back(
            table_read{operation, head_table, draft_key(running.m_draft_name), false});
        return;
    default:
        m_actions.emplace_back(table_read{operation, head_table, head_key, false});
        return;
    }
}

void approval_workflow::retry(command& running, core::time_point now)
{
    running.m_operation.reset();
    running.m_next_call_at = now + m_settings.m_retry_delay;
}

void approval_workflow::enter_phase(command& running, phase next, core::time_point now)
{
    running.m_phase = next;
    running.m_operation.reset();
    if (next != phase::finished)
    {
        issue_call(running, now);
    }
}

void approval_workflow::on_draft_read(command& running, const read_reply& reply,
                                      core::time_point now)
{
    if (!reply.m_found)
    {
        refuse(running, approval_refusal::no_such_draft);
        return;
    }
    running.m_draft = parse_draft_row(reply.m_value);
    if (running.m_kind == kind::review || running.m_kind == kind::sign_off)
    {
        write_approval(running, reply.m_version, now);
        return;
    }
    if (running.m_kind == kind::start_rollout &&
        running.m_draft->m_state != draft_state::signed_off)
    {
        refuse(running, approval_refusal::wrong_state);
        return;
    }
    running.m_draft_revision = reply.m_version;
    enter_phase(running, phase::read_head, now);
}

void approval_workflow::on_head_read(command& running, const read_reply& reply,
                                     core::time_point now)
{
    running.m_head.reset();
    if (reply.m_found)
    {
        running.m_head = parse_head_row(reply.m_value);
    }
    const std::uint64_t revision = reply.m_found ? reply.m_version : 0;
    if (running.m_kind == kind::status)
    {
        succeed(running);
        return;
    }
    if (running.m_kind == kind::start_rollout)
    {
        write_rollout_start(running, revision, now);
        return;
    }
    write_rollout_step(running, revision, now);
}

void approval_workflow::write_approval(command& running, std::uint64_t revision,
                                       core::time_point now)
{
    draft_row& draft = *running.m_draft;
    const bool is_review = running.m_kind == kind::review;
    if (draft.m_state != (is_review ? draft_state::submitted : draft_state::reviewed))
    {
        refuse(running, approval_refusal::wrong_state);
        return;
    }
    const bool is_author = running.m_operator == draft.m_author;
    const bool repeats = running.m_operator == draft.m_reviewer;
    if (is_author || (repeats && !m_settings.m_signer_may_be_reviewer))
    {
        refuse(running, approval_refusal::same_operator);
        return;
    }
    (is_review ? draft.m_reviewer : draft.m_signer) = running.m_operator;
    draft.m_state = is_review ? draft_state::reviewed : draft_state::signed_off;
    begin_draft_write(running, revision, now);
}

void approval_workflow::write_rollout_start(command& running, std::uint64_t revision,
                                            core::time_point now)
{
    const bundle_ref& next = running.m_draft->m_ref;
    const std::uint64_t head_version = running.m_head ? running.m_head->m_current.m_version : 0;
    if (head_version != next.m_base_version)
    {
        refuse(running, running.m_conflicted ? approval_refusal::write_conflict
                                             : approval_refusal::stale_base);
        return;
    }
    TARRAGONTRAIL_INVARIANT(next.m_version == head_version + 1, "bundle head grows by one");
    head_row row = running.m_head.value_or(head_row());
    if (row.is_rollout_complete() && running.m_current &&
        running.m_current->m_version == head_version)
    {
        std::erase_if(row.m_withdrawals, [&](const withdrawal& each) {
            return supersedes_withdrawal(*running.m_current, each);
        });
    }
    row.m_previous = row.is_rollout_complete() ? row.m_current : row.m_previous;
    row.m_current = next;
    row.m_steps = running.m_draft->m_steps;

    // The first bundle of a fleet has no predecessor that other domains could keep, so its rollout
    // is complete at once.
    row.m_step = row.m_previous.m_version == 0 ? row.m_steps.size() : 0;
    running.m_head = std::move(row);
    begin_head_write(running, revision, now);
}

void approval_workflow::write_rollout_step(command& running, std::uint64_t revision,
                                           core::time_point now)
{
    if (!running.m_head)
    {
        refuse(running, approval_refusal::no_bundle);
        return;
    }
    head_row& row = *running.m_head;
    if (row.m_current.m_version != running.m_version || row.m_step != running.m_from_step ||
        row.is_rollout_complete())
    {
        refuse(running, running.m_conflicted ? approval_refusal::write_conflict
                                             : approval_refusal::stale_step);
        return;
    }
    ++row.m_step;
    begin_head_write(running, revision, now);
}

void approval_workflow::begin_draft_write(command& running, std::uint64_t revision,
                                          core::time_point now)
{
    const std::uint64_t nonce = m_random();
    running.m_draft->m_history.add(revision, nonce);
    table_write write{{},
                      head_table,
                      draft_key(running.m_draft_name),
                      revision,
                      serialize_draft_row(*running.m_draft)};
    running.m_write.emplace(std::move(write), nonce, history_of_draft);
    enter_phase(running, phase::write_draft, now);
}

void approval_workflow::begin_head_write(command& running, std::uint64_t revision,
                                         core::time_point now)
{
    const std::uint64_t nonce = m_random();
    running.m_head->m_history.add(revision, nonce);
    table_write write{{}, head_table, head_key, revision, serialize_head_row(*running.m_head)};
    running.m_write.emplace(std::move(write), nonce, history_of_head);
    enter_phase(running, phase::write_head, now);
}

void approval_workflow::finish_write(command& running, write_outcome outcome, core::time_point now)
{
    if (outcome == write_outcome::pending)
    {
        issue_call(running, now);
        return;
    }
    running.m_write.reset();
    if (running.m_answered)
    {
        // The result of marking the draft as rolled is ignored: only the head row is authoritative.
        enter_phase(running, phase::put_head_copy, now);
        return;
    }
    if (outcome == write_outcome::unknown)
    {
        refuse(running, approval_refusal::outcome_unknown);
        return;
    }
    if (outcome == write_outcome::conflict && running.m_phase == phase::write_head)
    {
        // The conflicting write may only have added a withdrawal, so the command is still possible.
        running.m_conflicted = true;
        enter_phase(running, phase::read_head, now);
        return;
    }
    if (outcome == write_outcome::conflict)
    {
        refuse(running, approval_refusal::write_conflict);
        return;
    }
    succeed(running);
    if (running.m_phase == phase::write_head && running.m_kind == kind::start_rollout)
    {
        running.m_draft->m_state = draft_state::rolled;
        begin_draft_write(running, running.m_draft_revision, now);
        return;
    }
    const bool moved_head =
        running.m_kind == kind::start_rollout || running.m_kind == kind::advance_rollout;
    enter_phase(running, moved_head ? phase::put_head_copy : phase::finished, now);
}

void approval_workflow::succeed(command& running)
{
    if (!std::exchange(running.m_answered, true))
    {
        m_actions.emplace_back(command_done{running.m_id, running.m_draft, running.m_head});
    }
    if (running.m_kind == kind::status)
    {
        running.m_phase = phase::finished;
    }
}

void approval_workflow::refuse(command& running, approval_refusal refusal)
{
    if (!std::exchange(running.m_answered, true))
    {
        m_actions.emplace_back(command_failed{running.m_id, approval_error(refusal)});
    }
    running.m_phase = phase::finished;
}

void approval_workflow::fail_expired(command& running)
{
    const bool may_have_happened = running.m_write && running.m_write->was_sent();
    refuse(running,
           may_have_happened ? approval_refusal::outcome_unknown : approval_refusal::not_executed);
}

} // namespace tarragontrail::config
