#pragma once

#include "tarragontrail/config/approval_error.hpp"
#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/draft_row.hpp"
#include "tarragontrail/config/head_row.hpp"
#include "tarragontrail/config/settled_write.hpp"
#include "tarragontrail/config/table_calls.hpp"
#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"

#include <deque>
#include <map>
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

/// Settings of approval.
struct approval_settings
{
    std::chrono::milliseconds m_call_timeout{1500};     ///< Wait for one reply.
    std::chrono::milliseconds m_retry_pause{200};       ///< Pause before a call is made again.
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
class approval
{
public:
    using action = std::variant<store_read, store_write, object_put, command_done, command_failed>;

    approval(const approval_settings& settings, std::uint64_t seed);

    /// Stores a draft of the next bundle. Throws bundle_error when the text is wrong or may not
    /// follow `current`.
    command_id submit(const std::string& author, const std::string& text,
                      const std::shared_ptr<const bundle>& current, core::time_point now);

    /// Records a review by another operator than the author.
    command_id review(const std::string& draft, const std::string& reviewer, core::time_point now);

    /// Signs a reviewed draft off.
    command_id sign_off(const std::string& draft, const std::string& signer, core::time_point now);

    /// Makes a signed draft the head, at the first step of its rollout.
    command_id roll(const std::string& draft, const std::string& roller, core::time_point now);

    /// Moves the rollout of a version on from a step to the next.
    command_id advance(std::uint64_t version, std::uint64_t from_step, core::time_point now);

    /// Reads the head, and a draft unless its name is empty.
    command_id status(const std::string& draft, core::time_point now);

    void on_store_read(const read_reply& reply, core::time_point now);
    void on_store_written(const write_reply& reply, core::time_point now);
    void on_store_failed(operation_id operation, core::time_point now);
    void on_object_stored(operation_id operation, core::time_point now);
    void on_object_failed(operation_id operation, core::time_point now);
    void on_timer(core::time_point now);

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    struct command;

    void step(command& running, core::time_point now);

    approval_settings m_settings; ///< Timeouts and rules.
    core::seeded_random m_random; ///< Nonces and draft names.
};

} // namespace tarragontrail::config
