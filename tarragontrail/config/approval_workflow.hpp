#pragma once

#include "tarragontrail/config/approval_error.hpp"
#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/conditional_write.hpp"
#include "tarragontrail/config/draft_row.hpp"
#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/config/platform_calls.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::config {

/// Identifies a pending operator command.
enum class command_id : std::uint64_t
{
};

/// Settings of approval_workflow.
struct approval_workflow_settings
{
    /// Timeout of one call to the platform's services.
    std::chrono::milliseconds m_call_timeout{1500};
    std::chrono::milliseconds m_retry_delay{200}; ///< Delay before a failed call is retried.
    /// Maximum time until the command is answered.
    std::chrono::milliseconds m_command_timeout{15000};
    /// Whether author and reviewer suffice, without a third operator.
    bool m_signer_may_be_reviewer = false;
};

/// Action: a command succeeded.
struct command_done
{
    command_id m_command{};
    /// Draft after the command; none if the command has no draft.
    std::optional<draft_row> m_draft;
    std::optional<head_row> m_head; ///< Head row after the command; none if it was not read.
};

/// Action: a command was rejected or its outcome is unknown.
struct command_failed
{
    command_id m_command{};
    approval_error m_error;
};

/// Approval workflow of bundles: submit, review, sign off, roll out step by step.
///
/// Each state change is one conditional write to the table service, so of several concurrent
/// commands one succeeds and the others are rejected.
class approval_workflow
{
public:
    using action = std::variant<table_read, table_write, object_put, command_done, command_failed>;

    approval_workflow(const approval_workflow_settings& settings, std::uint64_t seed);

    /// Stores a draft of the next bundle. Throws bundle_error if the text is invalid or not a valid
    /// successor of `current`.
    command_id submit(const std::string& author, const std::string& text,
                      const std::shared_ptr<const bundle>& current, core::time_point now);

    /// Records a review; the reviewer must not be the author.
    command_id review(const std::string& draft, const std::string& reviewer, core::time_point now);

    /// Signs off a reviewed draft; the signer must not be the author, nor the reviewer unless the
    /// settings allow it.
    command_id sign_off(const std::string& draft, const std::string& signer, core::time_point now);

    /// Makes a signed-off draft the head, at the first step of its rollout. `current` is the bundle
    /// applied here; withdrawals that it already includes are removed from the head row.
    command_id start_rollout(const std::string& draft, const std::shared_ptr<const bundle>& current,
                             core::time_point now);

    /// Advances the rollout of a version from `from_step` to the next step.
    command_id advance_rollout(std::uint64_t version, std::uint64_t from_step,
                               core::time_point now);

    /// Reads the head row, and the draft unless its name is empty.
    command_id status(const std::string& draft, core::time_point now);

    void on_table_read(const read_reply& reply, core::time_point now);
    void on_table_written(const write_reply& reply, core::time_point now);
    void on_table_failed(operation_id operation, core::time_point now);
    void on_object_stored(operation_id operation, core::time_point now);
    void on_object_failed(operation_id operation, core::time_point now);
    void on_timer(core::time_point now);

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// Call to the platform's services that a command makes next.
    enum class phase
    {
        put_bundle,    ///< Store the bundle document.
        put_delta,     ///< Store the delta from the current bundle.
        read_draft,    ///< Read the draft row.
        read_head,     ///< Read the head row.
        write_draft,   ///< Write the draft row.
        write_head,    ///< Write the head row.
        put_head_copy, ///< Store a copy of the head row; the command has been answered.
        finished,      ///< The command is complete.
    };

    /// Kind of a command.
    enum class kind
    {
        submit,
        review,
        sign_off,
        start_rollout,
        advance_rollout,
        status,
    };

    /// Pending command.
    struct command
    {
        command_id m_id{};
        kind m_kind = kind::status;
        phase m_phase = phase::finished;          ///< Call to make next.
        std::string m_operator;                   ///< Operator who issued it.
        std::string m_draft_name;                 ///< Name of its draft; may be empty.
        std::string m_bundle_text;                ///< Bundle document to store.
        std::string m_delta_text;                 ///< Delta to store; may be empty.
        std::uint64_t m_version = 0;              ///< Version whose rollout is advanced.
        std::uint64_t m_from_step = 0;            ///< Step to advance from.
        std::shared_ptr<const bundle> m_current;  ///< Bundle applied here when it was issued.
        std::optional<draft_row> m_draft;         ///< Draft row as last read or written.
        std::uint64_t m_draft_revision = 0;       ///< Table version of the draft row as read.
        std::optional<head_row> m_head;           ///< Head row as last read or written.
        std::optional<conditional_write> m_write; ///< Pending write.
        bool m_conflicted = false;                ///< Whether a write of the head row conflicted.
        bool m_answered = false;                  ///< Whether the operator was answered.
        std::optional<operation_id> m_operation;  ///< Pending call.
        core::time_point
            m_next_call_at{};          ///< When the pending call times out or the next one is made.
        core::time_point m_deadline{}; ///< When the command fails for lack of replies.
    };

    command_id start(command started, core::time_point now);
    void issue_call(command& running, core::time_point now);
    void retry(command& running, core::time_point now);
    void enter_phase(command& running, phase next, core::time_point now);
    void finish_write(command& running, write_outcome outcome, core::time_point now);
    void on_draft_read(command& running, const read_reply& reply, core::time_point now);
    void on_head_read(command& running, const read_reply& reply, core::time_point now);
    void write_approval(command& running, std::uint64_t revision, core::time_point now);
    void write_rollout_start(command& running, std::uint64_t revision, core::time_point now);
    void write_rollout_step(command& running, std::uint64_t revision, core::time_point now);
    void begin_draft_write(command& running, std::uint64_t revision, core::time_point now);
    void begin_head_write(command& running, std::uint64_t revision, core::time_point now);
    void succeed(command& running);
    void refuse(command& running, approval_refusal refusal);
    void fail_expired(command& running);
    command* find_command(operation_id operation);
    void drop_finished();

    approval_workflow_settings m_settings;
    core::seeded_random m_random;       ///< Source of nonces and draft names.
    std::vector<command> m_commands;    ///< Pending commands.
    std::uint64_t m_last_command = 0;   ///< Last command id assigned.
    std::uint64_t m_last_operation = 0; ///< Last operation id assigned.
    std::vector<action> m_actions;      ///< Actions not yet taken by the I/O layer.
};

} // namespace tarragontrail::config
