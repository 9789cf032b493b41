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

/// Identifies an operator's command until it is answered.
enum class command_id : std::uint64_t
{
};

/// Settings of approval_workflow.
struct approval_workflow_settings
{
    std::chrono::milliseconds m_call_timeout{1500};     ///< Wait for one reply.
    std::chrono::milliseconds m_retry_delay{200};       ///< Pause before a call is made again.
    std::chrono::milliseconds m_command_timeout{15000}; ///< Longest time until the answer.
    bool m_signer_may_be_reviewer = false;              ///< Whether two operators are enough.
};

/// Action: a command succeeded.
struct command_done
{
    command_id m_command{};           ///< The command.
    std::optional<draft_row> m_draft; ///< Draft after the command, where one is concerned.
    std::optional<head_row> m_head;   ///< Head after the command, where it was read.
};

/// Action: a command was refused or its outcome is not known.
struct command_failed
{
    command_id m_command{}; ///< The command.
    approval_error m_error; ///< Reason.
};

/// Operators' workflow: submit, review, sign off, roll in steps.
///
/// Every move is one conditional write, so of racing operators one wins and the others are told.
class approval_workflow
{
public:
    using action = std::variant<table_read, table_write, object_put, command_done, command_failed>;

    approval_workflow(const approval_workflow_settings& settings, std::uint64_t seed);

    /// Stores a draft of the next bundle. Throws bundle_error when the text is wrong or may not
    /// follow `current`.
    command_id submit(const std::string& author, const std::string& text,
                      const std::shared_ptr<const bundle>& current, core::time_point now);

    /// Records a review by another operator than the author.
    command_id review(const std::string& draft, const std::string& reviewer, core::time_point now);

    /// Signs a reviewed draft off.
    command_id sign_off(const std::string& draft, const std::string& signer, core::time_point now);

    /// Makes a signed draft the head, at the first step of its rollout.
    /// `current` is the bundle in force here; withdrawals that it includes leave the head row.
    command_id start_rollout(const std::string& draft, const std::shared_ptr<const bundle>& current,
                             core::time_point now);

    /// Moves the rollout of a version on from a step to the next.
    command_id advance_rollout(std::uint64_t version, std::uint64_t from_step,
                               core::time_point now);

    /// Reads the head, and a draft unless its name is empty.
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
    /// Call that a command makes next.
    enum class phase
    {
        put_bundle,    ///< Store the whole document.
        put_delta,     ///< Store the change from the current bundle.
        read_draft,    ///< Read the draft's row.
        read_head,     ///< Read the head row.
        write_draft,   ///< Write the draft's row.
        write_head,    ///< Write the head row.
        put_head_copy, ///< Store a copy of the head row; the command is answered already.
        finished,      ///< Nothing is left to do.
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

    /// Command under way.
    struct command
    {
        command_id m_id{};                        ///< Its identifier.
        kind m_kind = kind::status;               ///< Kind.
        phase m_phase = phase::finished;          ///< Call to make next.
        std::string m_operator;                   ///< Operator who gave it.
        std::string m_draft_name;                 ///< Draft concerned; may be empty.
        std::string m_bundle_text;                ///< Document to store.
        std::string m_delta_text;                 ///< Change to store; may be empty.
        std::uint64_t m_version = 0;              ///< Version whose rollout is moved.
        std::uint64_t m_from_step = 0;            ///< Step that it is moved from.
        std::shared_ptr<const bundle> m_current;  ///< Bundle in force when it was given.
        std::optional<draft_row> m_draft;         ///< Draft as last read or written.
        std::uint64_t m_draft_revision = 0;       ///< Table version of the draft as read.
        std::optional<head_row> m_head;           ///< Head as last read or written.
        std::optional<conditional_write> m_write; ///< Write under way.
        bool m_conflicted = false;                ///< Whether another write came first.
        bool m_answered = false;                  ///< Whether the answer was given.
        std::optional<operation_id> m_operation;  ///< Call under way.
        core::time_point m_next_call_at{};        ///< Moment at which it fails or is made again.
        core::time_point m_deadline{};            ///< Moment at which the command ends.
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

    approval_workflow_settings m_settings; ///< Timeouts and rules.
    core::seeded_random m_random;          ///< Nonces and draft names.
    std::vector<command> m_commands;       ///< Commands under way.
    std::uint64_t m_last_command = 0;      ///< Last command id given.
    std::uint64_t m_last_operation = 0;    ///< Last operation id given.
    std::vector<action> m_actions;         ///< Actions not yet taken.
};

} // namespace tarragontrail::config
