// Costs of the routing cores: block index, lookups, and decisions by the number of engines.
#include "performance_test/routing_allocation_count.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/prefix_probe.hpp"
#include "tarragontrail/routing/router.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <functional>

using namespace tarragontrail;
using namespace tarragontrail::routing;

namespace {

constexpr core::upstream_id engine_id{1};
constexpr core::incarnation first_start{1};
constexpr std::size_t blocks_per_event = 8;

std::vector<std::uint64_t> random_hashes(std::size_t count, std::uint64_t seed)
{
    core::seeded_random random(seed);
    std::vector<std::uint64_t> hashes(count);
    std::generate(hashes.begin(), hashes.end(), std::ref(random));
    return hashes;
}

cached_block_index make_index(std::size_t blocks, std::span<const std::uint64_t> hashes)
{
    cached_block_index_settings settings;
    settings.m_expected_blocks = blocks;
    cached_block_index index(engine_id, settings);
    index.on_snapshot({first_start, 0, {hashes.begin(), hashes.end()}}, {});
    return index;
}

prefix_chain make_chain(std::uint64_t bundle, std::size_t pieces, prefix_identity identity)
{
    std::string prompt = "bundle " + std::to_string(bundle);
    prompt.resize(pieces * piece_bytes, '.');
    prefix_chain chain;
    chain.assign(identity, prompt);
    return chain;
}

/// Memory of an index for each block; the first argument is the size it was made for.
void index_bytes(benchmark::State& state)
{
    const auto blocks = static_cast<std::size_t>(state.range(1));
    const cached_block_index index =
        make_index(static_cast<std::size_t>(state.range(0)), random_hashes(blocks, 1));
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(index.size());
    }
    state.counters["bytes_per_block"] =
        static_cast<double>(index.bytes()) / static_cast<double>(index.size());
    state.counters["blocks"] = static_cast<double>(index.size());
}

/// One batch of events that stores and evicts as many blocks in a full index.
void index_event(benchmark::State& state)
{
    const auto blocks = static_cast<std::size_t>(state.range(0));
    const auto hashes = random_hashes(blocks * 2, 1);
    cached_block_index index = make_index(blocks, std::span(hashes).first(blocks));
    cache_event event{first_start, 0, {}, {}};
    event.m_stored.resize(blocks_per_event);
    event.m_evicted.resize(blocks_per_event);
    core::time_point now{};
    std::size_t oldest = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        ++event.m_sequence;
        now += std::chrono::milliseconds(1);
        for (std::size_t place = 0; place < blocks_per_event; ++place)
        {
            event.m_evicted[place] = hashes[oldest];
            event.m_stored[place] = hashes[(oldest + blocks) % hashes.size()];
            oldest = (oldest + 1) % hashes.size();
        }
        index.on_event(event, now);
    }
    state.counters["ns_per_block"] =
        benchmark::Counter(static_cast<double>(state.iterations()) * 2 * blocks_per_event * 1e-9,
                           benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/// Answer of a watcher to the first question about a prompt of 100 pieces.
void lookup_answer(benchmark::State& state)
{
    const auto blocks = static_cast<std::size_t>(state.range(0));
    const auto hashes = random_hashes(blocks, 1);
    const cached_block_index index = make_index(blocks, hashes);
    std::vector<lookup_request> requests(1024);
    // Chains from all over the table, as blocks stored early lie nearest to their home slot.
    const std::size_t stride = (blocks - 100) / requests.size();
    for (std::size_t place = 0; place < requests.size(); ++place)
    {
        requests[place].m_engine = engine_id;
        requests[place].m_incarnation = first_start;
        fill_initial_probe(std::span(hashes).subspan(place * stride, 100), requests[place]);
    }
    std::size_t next = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(answer_lookup(requests[next], index));
        next = (next + 1) % requests.size();
    }
}

/// Chain of a prompt of so many pieces.
void chain_assign(benchmark::State& state)
{
    const std::string prompt(static_cast<std::size_t>(state.range(0)) * piece_bytes, 'x');
    prefix_chain chain;
    for ([[maybe_unused]] auto _ : state)
    {
        chain.assign({}, prompt);
        benchmark::DoNotOptimize(chain.size());
    }
}

/// Memory of what a router holds beside the engines, with so many agreed hashing depths.
void fixed_memory(benchmark::State& state)
{
    const routing_settings settings;
    const predicted_blocks predicted(settings.m_predicted_blocks);
    anchor_depth_learner learner(core::instance_id{1}, settings.m_anchor);
    for (std::int64_t group = 1; group <= state.range(0); ++group)
    {
        learner.on_hint({static_cast<std::uint64_t>(group), 1, 1, 3, core::instance_id{2}}, {});
    }
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(learner.bytes());
    }
    state.counters["predicted_bytes"] = static_cast<double>(predicted.bytes());
    state.counters["learner_bytes"] = static_cast<double>(learner.bytes());
    state.counters["rates_bytes"] = sizeof(prefix_rate_tracker);
    state.counters["engine_bytes"] = sizeof(engine_record);
    state.counters["request_bytes"] = sizeof(request_record) + max_pieces * sizeof(std::uint64_t);
}

/// Router before engines of one model, with requests that finish after some others have begun.
class decision_run
{
public:
    decision_run(std::size_t engines, const routing_settings& settings)
        : m_router({core::instance_id{1}, core::region_id{1}, 1}, settings)
    {
        std::vector<engine_entry> entries;
        for (std::uint64_t id = 1; id <= engines; ++id)
        {
            entries.push_back({core::upstream_id{id},
                               core::region_id{1 + id % 2},
                               {},
                               m_identity.m_model_id,
                               engine_state::ready,
                               first_start,
                               1});
        }
        m_router.set_engines(entries, m_now);
        for (std::uint64_t bundle = 0; bundle < 64; ++bundle)
        {
            m_chains.push_back(make_chain(bundle, 100, m_identity));
        }
    }

    /// Begins, decides and sends one request, and ends the one begun 32 before.
    void step()
    {
        ++m_last_id;
        m_now += std::chrono::milliseconds(80);
        const prefix_chain& chain = m_chains[m_last_id % m_chains.size()];
        const core::request_id id{m_last_id};
        m_router.begin({id,
                        m_identity,
                        chain,
                        chain.size() * tokens_per_piece,
                        300,
                        m_now + std::chrono::seconds(30),
                        {}},
                       m_now);
        answer();
        m_router.on_dispatched(id, m_now);
        m_router.on_finished(core::request_id{m_last_id - 32}, 300, m_now);
    }

private:
    void answer()
    {
        for (const router_action& action : m_router.take_actions())
        {
            const auto* const lookup = std::get_if<send_lookup>(&action);
            if (lookup == nullptr)
            {
                continue;
            }
            const lookup_reply reply{
                lookup->m_request.m_lookup_id, lookup->m_engine, first_start, 0, 0, true,
                std::chrono::seconds(5)};
            m_router.on_lookup_reply(reply, m_now);
        }
        benchmark::DoNotOptimize(m_router.take_actions());
    }

    prefix_identity m_identity{core::workspace_id{1}, core::model_id{1}, {}, 1}; ///< Of all.
    router m_router;                               ///< Router measured.
    std::vector<prefix_chain> m_chains;            ///< Prompts in use.
    core::time_point m_now{std::chrono::hours(1)}; ///< Time.
    std::uint64_t m_last_id = 1000;                ///< Last request.
};

void run_decisions(benchmark::State& state, const routing_settings& settings)
{
    decision_run run(static_cast<std::size_t>(state.range(0)), settings);
    for (int step = 0; step < 2000; ++step)
    {
        run.step();
    }
    const std::uint64_t before = count_allocations();
    for ([[maybe_unused]] auto _ : state)
    {
        run.step();
    }
    state.counters["allocations"] =
        static_cast<double>(count_allocations() - before) / static_cast<double>(state.iterations());
}

/// Decision with lookups to the watchers of three candidates and their replies.
void decision_with_lookups(benchmark::State& state)
{
    run_decisions(state, {});
}

/// Decision from predictions and load alone.
void decision_without_lookups(benchmark::State& state)
{
    routing_settings settings;
    settings.m_lookup_rounds = 0;
    run_decisions(state, settings);
}

} // namespace

BENCHMARK(index_bytes)
    ->Args({10'000, 10'000})
    ->Args({92'000, 92'000})
    ->Args({200'000, 200'000})
    ->Args({16, 10'000})
    ->Args({16, 92'000})
    ->Args({16, 200'000})
    ->Iterations(1);
BENCHMARK(index_event)->Arg(10'000)->Arg(92'000)->Arg(200'000);
BENCHMARK(lookup_answer)->Arg(10'000)->Arg(92'000)->Arg(200'000);
BENCHMARK(chain_assign)->Arg(10)->Arg(100)->Arg(500);
BENCHMARK(fixed_memory)->Arg(0)->Arg(36'000)->Iterations(1);
BENCHMARK(decision_with_lookups)->Arg(8)->Arg(64)->Arg(710);
BENCHMARK(decision_without_lookups)->Arg(8)->Arg(64)->Arg(710);
