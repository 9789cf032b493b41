#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/prefix_probe.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace tarragontrail::routing {

constexpr std::size_t max_candidates = 16; ///< Limit of candidates for one request.

/// Engine that may take a request, as passed to a policy before any lookup.
struct eligible_engine
{
    core::upstream_id m_engine{};
    core::duration m_queue_time{}; ///< Estimated time until prefill starts.
};

/// How an engine became a candidate.
enum class candidate_origin
{
    hashed,       ///< Chosen by rendezvous hashing on a prefix key.
    overflow,     ///< Chosen by load, for example because the hashed engines are overloaded.
    other_region, ///< Added because the own region is overloaded or has no engine.
};

/// Engine that is considered for a request, with its lookup state and estimates.
struct candidate
{
    core::upstream_id m_engine{};
    candidate_origin m_origin = candidate_origin::hashed;
    core::incarnation m_incarnation{}; ///< Incarnation that m_depth_bounds holds for.
    bool m_lookup_answered = false;    ///< Whether its watcher or a local index answered.
    bool m_index_complete = false;     ///< Whether m_depth_bounds comes from a complete index.
    bool m_lookup_pending = false;     ///< Whether a lookup is outstanding.
    std::uint64_t m_lookup_round = 0;  ///< Number of the current lookup; the first is 0.
    depth_bounds m_depth_bounds;       ///< Cached depth as far as lookups have narrowed it.
    bool m_predicted = false; ///< Whether predictions exceed the depth that lookups confirmed.
    std::uint64_t m_hit_pieces = 0;  ///< Pieces expected in the cache.
    core::duration m_queue_time{};   ///< Estimated time until prefill starts.
    core::duration m_prefill_time{}; ///< Estimated time to prefill, or to copy, the pieces that are
                                     ///< not cached.
    core::upstream_id m_transfer_source{}; ///< Engine to copy blocks from; zero for none.
    std::uint64_t m_transfer_pieces = 0;   ///< Pieces to copy.
    core::duration m_cost{}; ///< Queue time, weighted prefill time and cost of crossing regions.
};

/// Fixed-capacity list of distinct candidates in order of preference.
class candidate_list
{
public:
    /// Adds an engine unless it is already listed or the list is full.
    void add(core::upstream_id engine, candidate_origin origin) noexcept
    {
        if (m_size == max_candidates || find(engine) != nullptr)
        {
            return;
        }
        m_items[m_size] = candidate{};
        m_items[m_size].m_engine = engine;
        m_items[m_size].m_origin = origin;
        ++m_size;
    }

    candidate* find(core::upstream_id engine) noexcept
    {
        for (candidate& item : items())
        {
            if (item.m_engine == engine)
            {
                return &item;
            }
        }
        return nullptr;
    }

    /// Keeps the candidates for which `keep` returns true, in order.
    template <class Predicate>
    void retain(Predicate keep)
    {
        std::size_t kept = 0;
        for (const candidate& item : items())
        {
            if (!keep(item))
            {
                continue;
            }
            m_items[kept] = item;
            ++kept;
        }
        m_size = kept;
    }

    void clear() noexcept { m_size = 0; }
    std::size_t size() const noexcept { return m_size; }
    bool empty() const noexcept { return m_size == 0; }
    std::span<candidate> items() noexcept { return {m_items.data(), m_size}; }
    std::span<const candidate> items() const noexcept { return {m_items.data(), m_size}; }

private:
    std::array<candidate, max_candidates> m_items;
    std::size_t m_size = 0;
};

} // namespace tarragontrail::routing
