#include "tarragontrail/routing/bounded_rendezvous_policy.hpp"

namespace tarragontrail::routing {

namespace {

core::duration mean_queue_time(std::span<const eligible_engine> engines) noexcept
{
    core::duration sum{};
    for (const eligible_engine& eligible : engines)
    {
        sum += eligible.m_queue_time;
    }
    return sum / static_cast<std::int64_t>(engines.size());
}

/// Queue time of one of the engines; zero if it is not among them.
core::duration queue_time_of(std::span<const eligible_engine> engines,
                             core::upstream_id engine) noexcept
{
    for (const eligible_engine& eligible : engines)
    {
        if (eligible.m_engine == engine)
        {
            return eligible.m_queue_time;
        }
    }
    return {};
}

} // namespace

void bounded_rendezvous_policy::select(const selection_input& input, candidate_list& candidates,
                                       core::seeded_random& random) const
{
    const auto engines = input.preferred();
    if (engines.empty())
    {
        return;
    }
    const std::chrono::duration<double, core::duration::period> mean(mean_queue_time(engines));
    const core::duration bound =
        std::chrono::duration_cast<core::duration>(mean * m_max_load_factor) + m_margin;

    // Takes the first engine within the bound, in rendezvous order.
    candidate_list ordered;
    const std::uint64_t key = input.m_previous_key.value_or(input.m_key);
    add_by_rendezvous(engines, key, max_candidates, candidate_origin::hashed, ordered);
    for (const candidate& item : ordered.items())
    {
        if (queue_time_of(engines, item.m_engine) > bound)
        {
            continue;
        }
        candidates.add(item.m_engine, input.preferred_origin(candidate_origin::hashed));
        return;
    }
    add_less_loaded_of_two(engines, input.preferred_origin(candidate_origin::overflow), candidates,
                           random);
}

} // namespace tarragontrail::routing
