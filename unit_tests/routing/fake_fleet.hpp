#pragma once

#include "tarragontrail/core/random.hpp"
#include "unit_tests/routing/router_fixture.hpp"

#include <algorithm>
#include <span>
#include <vector>

namespace router_fixture {

/// Simulated engine: its true state, and the state last reported to the router.
struct fake_engine
{
    engine_entry m_entry;                  ///< True state.
    cached_block_index m_index;            ///< Index of its watcher.
    bool m_listed = true;                  ///< Whether the router's set contains it.
    engine_entry m_published{};            ///< Entry in the router's set.
    core::incarnation m_newest_reported{}; ///< Newest incarnation reported to the router.
    std::uint64_t m_sequence = 0;          ///< Last batch of cache events.
};

/// Request of the simulation.
struct fake_request
{
    const prompt* m_prompt = nullptr;
    std::vector<core::upstream_id> m_excluded; ///< Engines that must not be used.
    core::time_point m_begun{};                ///< Time of the call of begin.
    core::time_point m_deadline{};             ///< Caller's deadline.
    int m_decisions = 0;                       ///< Number of routed and unroutable actions.
    routed m_routed;                           ///< Decision, if it was routed.
};

/// Simulated engines that change, crash and report at random; 1 to 4 are in the local region, 5 and
/// 6 in a remote one.
class fake_fleet
{
public:
    fake_fleet(core::seeded_random& random, router& target) : m_random(random), m_router(target)
    {
        for (std::uint64_t id = 1; id <= 6; ++id)
        {
            m_engines.push_back({make_engine(id, id <= 4 ? local_region : remote_region),
                                 cached_block_index(core::upstream_id{id}, {})});
            m_engines.back().m_index.on_snapshot({core::incarnation{1}, 0, {}}, {});
        }
    }

    std::span<const fake_engine> engines() const { return m_engines; }
    fake_engine& random_engine() { return m_engines[m_random.below(m_engines.size())]; }
    fake_engine& engine_of(core::upstream_id id) { return m_engines[core::value_of(id) - 1]; }

    /// Sends the set of engines to the router. Incarnations in it may be older than the engines'
    /// own, but not older than those already reported.
    void publish_engines(core::time_point now)
    {
        std::vector<engine_entry> entries;
        for (fake_engine& engine : m_engines)
        {
            if (!engine.m_listed)
            {
                continue;
            }
            engine.m_published = engine.m_entry;
            if (m_random.below(2) == 0)
            {
                engine.m_published.m_incarnation =
                    std::max(engine.m_newest_reported, core::incarnation{1});
            }
            engine.m_newest_reported =
                std::max(engine.m_newest_reported, engine.m_published.m_incarnation);
            entries.push_back(engine.m_published);
        }
        m_router.set_engines(entries, now);
    }

    /// Adds an engine to the set or removes it, and changes its state and weights.
    void change(fake_engine& engine, core::time_point now)
    {
        constexpr std::array states{engine_state::ready,   engine_state::ready,
                                    engine_state::ready,   engine_state::ready,
                                    engine_state::leaving, engine_state::unready};
        engine.m_listed = m_random.below(6) != 0;
        engine.m_entry.m_state = states[m_random.below(states.size())];
        engine.m_entry.m_weights_version = 1 + m_random.below(2);
        publish_engines(now);
    }

    /// Restarts an engine with an empty cache; the router may be informed at once or later.
    void crash(fake_engine& engine, core::time_point now)
    {
        const auto next = core::incarnation{core::value_of(engine.m_entry.m_incarnation) + 1};
        engine.m_entry.m_incarnation = next;
        engine.m_sequence = 0;
        engine.m_index.on_snapshot({next, 0, {}}, now);
        if (m_random.below(2) == 0)
        {
            m_router.on_engine_incarnation(engine.m_entry.m_upstream_id, next, now);
            engine.m_newest_reported = next;
        }
    }

    /// Sends a load report with a delay, sometimes for an older incarnation.
    void report_load(fake_engine& engine, core::time_point now)
    {
        load_report load;
        const std::uint64_t newest = core::value_of(engine.m_entry.m_incarnation);
        load.m_incarnation =
            core::incarnation{newest - m_random.below(std::min<std::uint64_t>(newest, 2))};
        load.m_queued_tokens = m_random.below(2) * m_random.below(100'000);
        load.m_prefill_tokens_per_second = static_cast<double>(m_random.below(2) * 9000);
        load.m_reported_at = now - std::chrono::milliseconds(m_random.below(900));
        m_router.on_load_report(engine.m_entry.m_upstream_id, load, now);
        engine.m_newest_reported = std::max(engine.m_newest_reported, load.m_incarnation);
    }

    /// Stores a random part of a chain. The event may be lost; the index then gets a snapshot.
    void store(fake_engine& engine, std::span<const std::uint64_t> hashes, core::time_point now)
    {
        cache_event event{engine.m_entry.m_incarnation, ++engine.m_sequence, {}, {}};
        const auto kept = static_cast<std::ptrdiff_t>(m_random.below(hashes.size() + 1));
        event.m_stored.assign(hashes.begin(), hashes.begin() + kept);
        event.m_evicted.assign(hashes.begin() + kept, hashes.end());
        if (m_random.below(10) != 0)
        {
            engine.m_index.on_event(event, now);
        }
        if (!engine.m_index.is_complete())
        {
            engine.m_index.on_snapshot(
                {engine.m_entry.m_incarnation, engine.m_sequence, event.m_stored}, now);
        }
    }

    /// Whether the router may send a request to an engine.
    static bool is_usable(const fake_engine& engine, const fake_request& request)
    {
        const engine_entry& entry = engine.m_published;
        return engine.m_listed && entry.m_state == engine_state::ready &&
               entry.m_weights_version == request.m_prompt->m_identity.m_weights_version &&
               std::ranges::count(request.m_excluded, entry.m_upstream_id) == 0;
    }

private:
    core::seeded_random& m_random;      ///< Shared with the simulation.
    router& m_router;                   ///< Router under test.
    std::vector<fake_engine> m_engines; ///< Engines in order of id.
};

} // namespace router_fixture
