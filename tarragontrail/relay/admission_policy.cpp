#include "tarragontrail/relay/admission_policy.hpp"

#include <algorithm>

namespace tarragontrail::relay {

admission_decision admission_policy::decide(const admission_request& request) const
{
    if (request.m_predicted_first_byte >
        core::scaled(request.m_time_left, m_settings.m_max_deadline_fraction))
    {
        return refuse_request{retry_after(request.m_predicted_queue_time, request.m_time_left)};
    }
    const core::duration objective =
        core::scaled(request.m_objective, m_settings.m_objective_factor);
    if (request.m_predicted_first_byte <= objective)
    {
        return admit_request{request.m_priority, false};
    }
    const core::duration without_queue =
        request.m_predicted_first_byte - request.m_predicted_queue_time;
    if (without_queue <= objective)
    {
        return refuse_request{retry_after(request.m_predicted_queue_time, request.m_time_left)};
    }
    return admit_request{m_settings.m_late_priority, true};
}

core::duration admission_policy::retry_after(core::duration queue_time,
                                             core::duration time_left) const
{
    const core::duration pause = std::clamp<core::duration>(
        queue_time / 2, m_settings.m_min_retry_after, m_settings.m_max_retry_after);
    // A caller is asked to return within a third of its remaining time at most.
    return std::max<core::duration>(std::min(pause, time_left / 3), std::chrono::milliseconds(1));
}

} // namespace tarragontrail::relay
