// Cost of admission, of a loan, of a workspace's state and of the fair queue.
#include "tarragontrail/limits/admission_control.hpp"
#include "tarragontrail/limits/fair_queue.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace tarragontrail::limits {
namespace {

constexpr core::workspace_id workspace{1};
constexpr core::instance_id first_home{1};
constexpr core::instance_id second_home{2};
constexpr std::uint64_t ample_tokens = 1'000'000'000;

/// Instance whose share of one workspace is full.
admission_control make_home(core::instance_id self, const std::vector<member>& members,
                            core::time_point& now)
{
    admission_control control({}, self, 1);
    control.set_genesis(members, now);
    control.set_limit(workspace, ample_tokens, ample_tokens, 1, now);
    control.on_rows_loaded(now);
    return control;
}

void admit_and_settle_locally(benchmark::State& state)
{
    core::time_point now{std::chrono::hours(1)};
    admission_control control = make_home(first_home, {{first_home, {}}}, now);
    now += std::chrono::seconds(10);
    std::uint64_t request = 0;
    for (auto _ : state)
    {
        now += std::chrono::microseconds(100);
        control.admit(core::request_id{++request}, workspace, 1000, now + std::chrono::seconds(1),
                      now);
        control.settle(core::request_id{request}, 600, now);
        benchmark::DoNotOptimize(control.take_actions());
    }
}
BENCHMARK(admit_and_settle_locally);

/// One admission of an instance that is no home: request, reply, admission, settlement.
void admit_by_a_loan(benchmark::State& state)
{
    core::time_point now{std::chrono::hours(1)};
    const std::vector<member> members{{first_home, {}}};
    admission_control lender = make_home(first_home, members, now);
    admission_control borrower = make_home(second_home, members, now);
    now += std::chrono::seconds(10);
    std::uint64_t request = 0;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds(1);
        borrower.on_timer(now);
        borrower.admit(core::request_id{++request}, workspace, 1000, now + std::chrono::seconds(1),
                       now);
        for (const action& asked : borrower.take_actions())
        {
            const auto& message = std::get<send_to<loan_request>>(asked);
            lender.on_loan_request(second_home, message.m_message, now);
        }
        for (const action& answered : lender.take_actions())
        {
            const auto& message = std::get<send_to<loan_reply>>(answered);
            borrower.on_loan_reply(first_home, message.m_message, now);
        }
        borrower.settle(core::request_id{request}, 600, now);
        for (const action& each : borrower.take_actions())
        {
            if (const auto* message = std::get_if<send_to<loan_settle>>(&each))
            {
                lender.on_loan_settle(second_home, message->m_message, now);
            }
        }
    }
}
BENCHMARK(admit_by_a_loan);

/// State of one of 380 instances with four homes a workspace.
void keep_workspaces(benchmark::State& state)
{
    const core::time_point now{std::chrono::hours(1)};
    std::vector<member> members;
    for (std::uint64_t index = 1; index <= 380; ++index)
    {
        members.push_back({core::instance_id{index}, core::region_id{index % 2}});
    }
    const auto count = static_cast<std::uint64_t>(state.range(0));
    double bytes = 0;
    std::uint64_t homes = 0;
    for (auto _ : state)
    {
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        admission_control control({}, first_home, 1);
        control.set_genesis(members, now);
        control.on_rows_loaded(now);
        for (std::uint64_t index = 0; index < count; ++index)
        {
            control.set_limit(core::workspace_id{index + 1}, 1000, 4000, 1, now);
        }
        bytes = static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before);
        homes = 0;
        for (std::uint64_t index = 0; index < count; ++index)
        {
            homes += control.find(core::workspace_id{index + 1})->share() == nullptr ? 0 : 1;
        }
    }
    state.counters["bytes_per_workspace"] = bytes / static_cast<double>(count);
    state.counters["homes"] = static_cast<double>(homes);
}
BENCHMARK(keep_workspaces)->Arg(1'000)->Arg(10'000)->Arg(36'000)->Iterations(1);

/// Enqueue, dispatch and end of one request while `range` workspaces wait.
void queue_and_dispatch(benchmark::State& state)
{
    core::time_point now{std::chrono::hours(1)};
    fair_queue queue({4000, 200'000, 256, 4096});
    const auto workspaces = static_cast<std::uint64_t>(state.range(0));
    std::uint64_t request = 0;
    const auto push = [&] {
        ++request;
        queue.push({core::request_id{request}, core::workspace_id{request % workspaces}, 2000,
                    request_priority::standard, now + std::chrono::hours(1)},
                   now);
    };
    while (queue.waiting() < 1000)
    {
        push();
    }
    std::vector<core::request_id> running;
    for (auto _ : state)
    {
        now += std::chrono::microseconds(1);
        push();
        for (const queue_action& each : queue.take_actions())
        {
            running.push_back(std::get<dispatch>(each).m_request);
        }
        const core::request_id ended = running.back();
        running.pop_back();
        queue.on_finished(ended, now);
    }
}
BENCHMARK(queue_and_dispatch)->Arg(5)->Arg(500);

} // namespace
} // namespace tarragontrail::limits
