#pragma once

#include "tarragontrail/core/error.hpp"

#include <string>

namespace tarragontrail::config {

/// Reason why an operator's command was rejected.
enum class approval_refusal
{
    no_such_draft,   ///< The draft does not exist.
    no_bundle,       ///< There is no head row yet.
    wrong_state,     ///< The draft is not in the state that the command needs.
    same_operator,   ///< The operator is the author or the reviewer of the draft.
    stale_base,      ///< The head changed after the draft was submitted.
    stale_step,      ///< The rollout is at another step or version.
    write_conflict,  ///< Another operator's concurrent write took effect instead.
    not_executed,    ///< The platform's services did not reply in time; nothing was changed.
    outcome_unknown, ///< The platform's services did not reply in time; the change may have been
                     ///< made.
};

/// Message for operators.
const char* to_string(approval_refusal refusal) noexcept;

/// An operator's command was rejected or its outcome is unknown.
class approval_error : public core::error
{
public:
    explicit approval_error(approval_refusal refusal);

    approval_refusal refusal() const noexcept { return m_refusal; }

private:
    approval_refusal m_refusal;
};

} // namespace tarragontrail::config
