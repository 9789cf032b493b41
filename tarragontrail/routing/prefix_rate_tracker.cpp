#include "tarragontrail/routing/prefix_rate_tracker.hpp"

#include <cmath>

namespace tarragontrail::routing {

double prefix_rate_tracker::on_request(std::uint64_t key, core::time_point now) noexcept
{
    // At a steady rate, the decaying count tends to the rate times the time constant.
    counter& slot = m_counters[key % slot_count];
    const std::chrono::duration<double> elapsed = now - slot.m_updated_at;
    const std::chrono::duration<double> constant = time_constant;
    slot.m_count *= std::exp(-elapsed.count() / constant.count());
    slot.m_updated_at = now;

    // A key takes over the slot of another key whose count has decayed.
    if (slot.m_key != key)
    {
        if (slot.m_count >= 1.0)
        {
            return 0;
        }
        slot.m_key = key;
        slot.m_count = 0;
    }
    slot.m_count += 1.0;
    return slot.m_count / constant.count();
}

} // namespace tarragontrail::routing
