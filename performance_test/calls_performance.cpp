// Cost of one guarded call, one stream chunk and one crash report.
#include "tarragontrail/idempotency/call_guard.hpp"
#include "tarragontrail/recovery/crash_attribution.hpp"
#include "tarragontrail/recovery/stream_tracker.hpp"

#include <benchmark/benchmark.h>
#include <fmt/core.h>
#include <string>
#include <variant>

namespace {

using namespace tarragontrail;
using namespace std::chrono_literals;

/// Counts of the table operations that a guard asked for.
struct table_counts
{
    std::uint64_t m_transactions = 0; ///< Transactions.
    std::uint64_t m_rows = 0;         ///< Rows written.
};

/// Answers every action of a guard at once, as a table and a service without faults would.
void answer_actions(idempotency::call_guard& guard, table_counts& counts, core::time_point now)
{
    const idempotency::service_answer result{200, "content-type: text/plain", "done"};
    for (auto actions = guard.take_actions(); !actions.empty(); actions = guard.take_actions())
    {
        for (const idempotency::call_action& action : actions)
        {
            if (const auto* write = std::get_if<idempotency::table_write>(&action))
            {
                ++counts.m_transactions;
                counts.m_rows += write->m_writes.size();
                idempotency::write_result written{true, {}, 0, {}};
                for (const auto& row : write->m_writes)
                {
                    written.m_versions.push_back(row.m_expected + 1);
                }
                guard.on_table_written(write->m_operation, written, now);
            }
            if (const auto* sent = std::get_if<idempotency::dispatch>(&action))
            {
                guard.on_dispatch_finished(sent->m_request, sent->m_attempt, result, now);
            }
        }
    }
}

void guarded_call(benchmark::State& state)
{
    const auto calls = static_cast<std::uint64_t>(state.range(0));
    idempotency::call_guard_settings settings;
    settings.m_max_batch = calls;
    idempotency::call_guard guard(settings, core::instance_id{1}, core::incarnation{1}, 1);
    core::time_point now{};
    std::uint64_t request = 0;
    table_counts counts;
    for (auto _ : state)
    {
        for (std::uint64_t i = 0; i < calls; ++i)
        {
            ++request;
            guard.begin({core::request_id{request}, core::workspace_id{1},
                         fmt::format("key-{}", request), request, now + 10s},
                        now);
        }
        // Intents are due first, answers after their longer window.
        now += settings.m_intent_batch_delay;
        guard.on_timer(now);
        answer_actions(guard, counts, now);
        now += settings.m_answer_batch_delay;
        guard.on_timer(now);
        answer_actions(guard, counts, now);
    }
    const auto total = static_cast<double>(request);
    state.SetItemsProcessed(static_cast<std::int64_t>(request));
    state.counters["transactions_per_call"] = static_cast<double>(counts.m_transactions) / total;
    state.counters["rows_per_call"] = static_cast<double>(counts.m_rows) / total;
    state.counters["left_open"] = guard.idle() ? 0 : 1;
}
BENCHMARK(guarded_call)->Arg(1)->Arg(8)->Arg(32);

void stream_chunk(benchmark::State& state)
{
    const core::time_point now{};
    const std::string text = "token";
    const core::request_id request{1};
    recovery::stream_tracker tracker({}, request, 0, now + 3600s, now);
    std::uint64_t offset = 0;
    for (auto _ : state)
    {
        tracker.on_chunk({request, 1, offset++, 1, text}, now);
        benchmark::DoNotOptimize(tracker.take_actions());
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(offset));
}
BENCHMARK(stream_chunk);

void crash_report(benchmark::State& state)
{
    const auto members = static_cast<std::uint64_t>(state.range(0));
    recovery::crash_attribution attribution({}, core::instance_id{1});
    core::time_point now{};
    std::uint64_t crashes = 0;
    for (auto _ : state)
    {
        ++crashes;
        now += 10s;
        recovery::crash_report report{
            core::instance_id{2}, core::upstream_id{crashes % 710}, core::incarnation{crashes}, {}};
        for (std::uint64_t i = 0; i < members; ++i)
        {
            report.m_fingerprints.push_back(crashes * members + i);
        }
        attribution.on_crash_report(report, now);
        attribution.on_timer(now + 1s);
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(crashes));
}
BENCHMARK(crash_report)->Arg(16)->Arg(64);

} // namespace
