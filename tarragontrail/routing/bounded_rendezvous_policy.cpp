#include "tarragontrail/routing/bounded_rendezvous_policy.hpp"

namespace tarragontrail::routing {

namespace {

/// Mean wait of some engines.
core::duration mean_wait(std::span<const engine_option> options) noexcept
{
    core::duration sum{};
    for (const engine_option& option : options)
    {
        sum += option.m_wait;
    }
    return sum / static_cast<std::int64_t>(options.size());
}

/// Wait of an engine among the options.
core::duration wait_of(std::span<const engine_option> options, core::upstream_id engine) noexcept
{
    for (const engine_option& option : options)
    {
        if (option.m_engine == engine)
        {
            return option.m_wait;
        }
    }
    return {};
}

} // namespace

void bounded_rendezvous_policy::select(const selection& input, candidate_list& candidates,
                                       core::seeded_random& random) const
{
    const auto options = input.preferred();
    if (options.empty())
    {
        return;
    }
    const std::chrono::duration<double, core::duration::period> mean(mean_wait(options));
    const core::duration bound =
        std::chrono::duration_cast<core::duration>(mean * m_bounded_load) + m_margin;

    // Walks the rendezvous order as far as a candidate list reaches.
    candidate_list ordered;
    const std::uint64_t key = input.m_previous_key.value_or(input.m_key);
    add_by_rendezvous(options, key, max_candidates, candidate_origin::hashed, ordered);
    for (const candidate& item : ordered.items())
    {
        if (wait_of(options, item.m_engine) > bound)
        {
            continue;
        }
        candidates.add(item.m_engine, input.preferred_origin(candidate_origin::hashed));
        return;
    }
    add_less_loaded_of_two(options, input.preferred_origin(candidate_origin::spilled), candidates,
                           random);
}

} // namespace tarragontrail::routing
