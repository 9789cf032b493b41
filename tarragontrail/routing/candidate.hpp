#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/routing/prefix_probe.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace tarragontrail::routing {

constexpr std::size_t max_candidates = 16; ///< Engines weighed for one request.

/// Engine that may take a request, as a policy sees it before any lookup.
struct eligible_engine
{
    core::upstream_id m_engine{};  ///< Engine.
    core::duration m_queue_time{}; ///< Estimated time in its queue.
};

/// How an engine became a candidate.
enum class candidate_origin
{
    hashed,       ///< By rendezvous hashing on a prefix key.
    overflow,     ///< Since the hashed ones are overloaded.
    other_region, ///< Since the region is overloaded or has no engine.
};

/// Engine that is weighed for a request, with what is believed of it.
struct candidate
{
    core::upstream_id m_engine{};                         ///< Engine.
    candidate_origin m_origin = candidate_origin::hashed; ///< How it came in.
    core::incarnation m_incarnation{};     ///< Incarnation that the bracket holds for.
    bool m_lookup_answered = false;        ///< Whether its watcher answered.
    bool m_index_complete = false;         ///< Whether the watcher's index is whole.
    bool m_lookup_pending = false;         ///< Whether an answer is outstanding.
    std::uint64_t m_lookup_round = 0;      ///< Questions put to its watcher before the last one.
    depth_bounds m_depth_bounds;           ///< Depth by the watcher's answers.
    bool m_predicted = false;              ///< Whether predictions deepen the hit.
    std::uint64_t m_hit_pieces = 0;        ///< Pieces expected in the cache.
    core::duration m_queue_time{};         ///< Estimated time in its queue.
    core::duration m_prefill_time{};       ///< Prefill time of the rest.
    core::upstream_id m_transfer_source{}; ///< Engine to copy blocks from.
    std::uint64_t m_transfer_pieces = 0;   ///< Pieces to copy.
    core::duration m_cost{};               ///< Sum that the policy minimises.
};

/// Fixed-capacity list of candidates in order of preference.
class candidate_list
{
public:
    /// Adds an engine unless it is listed or the list is full.
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

    /// Candidate of an engine, or null.
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

    /// Keeps the candidates for which `keep` holds, in order.
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
    std::array<candidate, max_candidates> m_items; ///< Storage.
    std::size_t m_size = 0;                        ///< Candidates held.
};

} // namespace tarragontrail::routing
