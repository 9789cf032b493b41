#include "tarragontrail/config/approval_error.hpp"

namespace tarragontrail::config {

const char* to_string(approval_refusal refusal) noexcept
{
    switch (refusal)
    {
    case approval_refusal::no_such_draft:
        return "no such draft";
    case approval_refusal::no_bundle:
        return "no bundle is in force";
    case approval_refusal::wrong_state:
        return "the draft is not in the state that this command needs";
    case approval_refusal::same_operator:
        return "this operator may not approve the draft";
    case approval_refusal::stale_base:
        return "another bundle came into force since the draft was made";
    case approval_refusal::stale_step:
        return "the rollout is at another version or step";
    case approval_refusal::write_conflict:
        return "another operator's command took effect instead";
    case approval_refusal::not_executed:
        return "the platform's services did not answer; nothing was changed";
    case approval_refusal::outcome_unknown:
        return "the platform's services did not answer; the change may have happened";
    }
    return "unknown refusal";
}

approval_error::approval_error(approval_refusal refusal)
    : error(to_string(refusal)), m_refusal(refusal)
{}

} // namespace tarragontrail::config
