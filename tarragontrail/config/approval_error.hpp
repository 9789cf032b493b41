#pragma once

#include "tarragontrail/core/error.hpp"

#include <string>

namespace tarragontrail::config {

/// Why an operator's command was refused.
enum class approval_refusal
{
    no_such_draft,   ///< The draft does not exist.
    no_bundle,       ///< There is no head row yet.
    wrong_state,     ///< The draft is not in the state that the command needs.
    same_operator,   ///< The operator may not approve this draft.
    stale_base,      ///< The head moved since the draft was made.
    stale_step,      ///< The rollout is at another step or version.
    write_conflict,  ///< Another operator's write took effect instead.
    not_executed,    ///< The platform's services did not answer; nothing was changed.
    outcome_unknown, ///< The platform's services did not answer; the change may have happened.
};

/// Text of a refusal.
const char* to_string(approval_refusal refusal) noexcept;

/// An operator's command was refused or its outcome is not known.
class approval_error : public core::error
{
public:
    explicit approval_error(approval_refusal refusal);

    /// Reason.
    approval_refusal refusal() const noexcept { return m_refusal; }

private:
    approval_refusal m_refusal; ///< Reason.
};

} // namespace tarragontrail::config
