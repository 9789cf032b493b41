#include "tarragontrail/routing/routing_policy.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::routing {

namespace {

struct scored_option
{
    std::uint64_t m_score = 0;    ///< Rendezvous score for the key.
    core::upstream_id m_engine{}; ///< Breaks ties.

    bool operator<(const scored_option& other) const noexcept
    {
        return std::pair(m_score, m_engine) < std::pair(other.m_score, other.m_engine);
    }
};

} // namespace

void add_by_rendezvous(std::span<const eligible_engine> engines, std::uint64_t key,
                       std::size_t count, candidate_origin origin,
                       candidate_list& candidates) noexcept
{
    // Insertion sort that keeps the best `count` engines in descending order.
    std::array<scored_option, max_candidates> best{};
    std::size_t size = 0;
    count = std::min(count, max_candidates);
    for (const eligible_engine& eligible : engines)
    {
        const scored_option scored{core::rendezvous_score(key, core::value_of(eligible.m_engine)),
                                   eligible.m_engine};
        if (size == count && (count == 0 || scored < best[size - 1]))
        {
            continue;
        }
        std::size_t position = size < count ? size++ : count - 1;
        for (; position > 0 && best[position - 1] < scored; --position)
        {
            best[position] = best[position - 1];
        }
        best[position] = scored;
    }
    for (const scored_option& scored : std::span(best).first(size))
    {
        candidates.add(scored.m_engine, origin);
    }
}

void add_less_loaded_of_two(std::span<const eligible_engine> engines, candidate_origin origin,
                            candidate_list& candidates, core::seeded_random& random) noexcept
{
    if (engines.empty())
    {
        return;
    }
    const eligible_engine& first = engines[random.below(engines.size())];
    const eligible_engine& second = engines[random.below(engines.size())];
    candidates.add(second.m_queue_time < first.m_queue_time ? second.m_engine : first.m_engine,
                   origin);
}

} // namespace tarragontrail::routing
