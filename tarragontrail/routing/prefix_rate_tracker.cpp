#include "tarragontrail/routing/prefix_rate_tracker.hpp"

#include <cmath>

namespace tarragontrail::routing {

double prefix_rate_tracker::on_request(std::uint64_t key, core::time_point now) noexcept
{
    // The count decays with a time constant, so at a steady rate it tends to rate times constant.
    counter& place = m_counters[key % places];
    const std::chrono::duration<double> elapsed = now - place.m_updated_at;
    const std::chrono::duration<double> constant = time_constant;
    place.m_count *= std::exp(-elapsed.count() / constant.count());
    place.m_updated_at = now;

    // A key takes over a place whose own key has gone quiet.
    if (place.m_key != key)
    {
        if (place.m_count >= 1.0)
        {
            return 0;
        }
        place.m_key = key;
        place.m_count = 0;
    }
    place.m_count += 1.0;
    return place.m_count / constant.count();
}

} // namespace tarragontrail::routing
