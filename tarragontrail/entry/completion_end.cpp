// Part of completion_flow that ends requests: whole, refused or cancelled.
#include "tarragontrail/entry/completion_flow.hpp"
#include "tarragontrail/observe/log.hpp"

namespace tarragontrail::entry {
namespace {

constexpr std::chrono::milliseconds recheck_interval{1000};

} // namespace

void completion_flow::on_first_token(core::request_id id, core::time_point now)
{
    running* each = find(id);
    if (each == nullptr)
    {
        return;
    }
    if (!each->m_first_token)
    {
        each->m_first_token = true;
        m_context.m_metrics.note_first_token(now - each->m_arrived);
    }
    m_routing->router().on_first_token(id, now);
    m_context.m_pump();
}

void completion_flow::on_end(core::request_id id, const completion_end& end, core::time_point now)
{
    running* each = find(id);
    if (each == nullptr)
    {
        return;
    }
    if (each->m_stage == stage::dispatched)
    {
        m_recovery->crash_attribution().on_finished(each->m_fingerprint, each->m_engine,
                                                    end.m_complete, now);
        m_recovery->on_attempt(each->m_engine, connection_outcome::worked, now);
    }
    leave_engine(id, *each, end.m_output_tokens, now);
    if (end.m_complete)
    {
        m_context.m_metrics.note_prompt(end.m_prompt_tokens, end.m_cached_tokens);
    }
    observe::log("completed", {{"request", core::value_of(id)},
                               {"complete", end.m_complete},
                               {"attempts", each->m_attempt},
                               {"prompt_tokens", end.m_prompt_tokens},
                               {"cached_tokens", end.m_cached_tokens},
                               {"expected_hit", each->m_expected_hit},
                               {"output_tokens", end.m_output_tokens}});
    finish(id, each->m_request->m_prompt_tokens + end.m_output_tokens, now);
    m_context.m_pump();
}

void completion_flow::leave_engine(core::request_id id, running& each, std::uint64_t tokens,
                                   core::time_point now)
{
    m_routing->router().on_finished(id, tokens, now);
    const auto queue = m_queues.find(each.m_engine);
    if (queue == m_queues.end())
    {
        return;
    }
    if (!queue->second.cancel(id, now))
    {
        queue->second.on_finished(id, now);
    }
}

void completion_flow::refuse(core::request_id id, const problem& told)
{
    running* each = find(id);
    if (each == nullptr)
    {
        return;
    }
    observe::log("refused", {{"request", core::value_of(id)},
                             {"workspace", core::value_of(each->m_workspace)},
                             {"reason", to_string(told.m_kind)},
                             {"execution", core::to_string(told.m_execution)}});
    const auto listener = each->m_listener;
    const bool ran = told.m_execution != core::execution::not_run;
    finish(id, ran ? each->m_request->m_prompt_tokens : 0, core::runtime_clock::now());
    m_callers.post([listener, told] { listener->on_refused(told); });
}

void completion_flow::finish(core::request_id id, std::uint64_t used_tokens, core::time_point now)
{
    const running* each = find(id);
    if (each == nullptr)
    {
        return;
    }
    if (each->m_stage == stage::admitting)
    {
        m_limits->admission().cancel(id, now);
    }
    else
    {
        m_limits->admission().settle(id, used_tokens, now);
    }
    m_requests.erase(id);
}

void completion_flow::recheck_keys(core::time_point now)
{
    m_next_recheck = now + recheck_interval;
    std::vector<std::pair<core::request_id, config::key_verdict>> ended;
    for (const auto& [id, each] : m_requests)
    {
        const config::key_verdict verdict =
            m_config->check(*each.m_request->m_caller.m_digest, now).m_verdict;
        const bool runs_on =
            verdict == config::key_verdict::accepted || verdict == config::key_verdict::stale_state;
        if (!runs_on)
        {
            ended.emplace_back(id, verdict);
        }
    }
    for (const auto& [id, verdict] : ended)
    {
        problem told = key_problem(verdict);
        told.m_execution = find(id)->m_execution;
        cancel(id, told, now);
    }
}

void completion_flow::cancel(core::request_id id, const problem& told, core::time_point now)
{
    running* each = find(id);
    observe::log("cancelled",
                 {{"request", core::value_of(id)}, {"reason", to_string(told.m_kind)}});
    const auto listener = each->m_listener;
    if (each->m_stage == stage::dispatched)
    {
        m_recovery->crash_attribution().on_finished(each->m_fingerprint, each->m_engine, false,
                                                    now);
    }
    leave_engine(id, *each, 0, now);
    const bool ran = told.m_execution != core::execution::not_run;
    const std::uint64_t most =
        each->m_request->m_prompt_tokens + each->m_request->m_max_output_tokens;
    finish(id, ran ? most : 0, now);
    m_callers.post([listener, told] { listener->on_cancelled(told); });
}

} // namespace tarragontrail::entry
