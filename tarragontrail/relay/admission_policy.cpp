#include "tarragontrail/relay/admission_policy.hpp"

#include <algorithm>

namespace tarragontrail::relay {

admission_decision admission_policy::decide(const admission_question& question) const
{
    if (question.m_first_byte > core::scaled(question.m_left, m_settings.m_hopeless_share))
    {
        return refuse_request{retry_after(question.m_queued, question.m_left)};
    }
    const core::duration objective = core::scaled(question.m_objective, m_settings.m_late_factor);
    if (question.m_first_byte <= objective)
    {
        return admit_request{question.m_priority, false};
    }
    const core::duration alone = question.m_first_byte - question.m_queued;
    if (alone <= objective)
    {
        return refuse_request{retry_after(question.m_queued, question.m_left)};
    }
    return admit_request{m_settings.m_late_priority, true};
}

core::duration admission_policy::retry_after(core::duration queued, core::duration left) const
{
    const core::duration room =
        std::clamp<core::duration>(queued / 2, m_settings.m_least_wait, m_settings.m_longest_wait);
    // Callers come back within a third of their time at most.
    return std::max<core::duration>(std::min(room, left / 3), std::chrono::milliseconds(1));
}

} // namespace tarragontrail::relay
