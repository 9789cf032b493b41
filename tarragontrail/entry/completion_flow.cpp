#include "tarragontrail/entry/completion_flow.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/observe/log.hpp"

namespace tarragontrail::entry {
namespace {

/// Pause before a request that met no usable engine is routed again.
constexpr std::chrono::milliseconds reroute_pause{100};

} // namespace
completion_flow::completion_flow(control_context& context, net::duty& callers,
                                 const limits::fair_queue_settings& queue_settings)
    : m_context(context), m_callers(callers), m_queue_settings(queue_settings),
      m_client(context.m_control.context())
{}

void completion_flow::connect(config_service& config, limits_service& limits,
                              routing_service& routing, recovery_service& recovery)
{
    m_config = &config;
    m_limits = &limits;
    m_routing = &routing;
    m_recovery = &recovery;
}

completion_flow::running* completion_flow::find(core::request_id id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void completion_flow::begin(const std::shared_ptr<const completion_request>& request,
                            const std::shared_ptr<completion_listener>& listener,
                            core::time_point arrived)
{
    try
    {
        running& each = admit(request, listener, arrived);
        m_limits->admission().admit(request->m_id, each.m_workspace,
                                    request->m_prompt_tokens + request->m_max_output_tokens,
                                    each.m_deadline, core::runtime_clock::now());
    }
    catch (const request_error& failure)
    {
        m_context.m_metrics.count_request(to_string(failure.told().m_kind));
        observe::log("refused", {{"request", core::value_of(request->m_id)},
                                 {"reason", to_string(failure.told().m_kind)}});
        m_callers.post([listener, told = failure.told()] { listener->on_refused(told); });
    }
    m_context.m_pump();
}

completion_flow::running&
completion_flow::admit(const std::shared_ptr<const completion_request>& request,
                       std::shared_ptr<completion_listener> listener, core::time_point arrived)
{
    const core::time_point now = core::runtime_clock::now();
    const auto& bundle = m_config->applied();
    if (!bundle || m_config->state() == config::agent_state::not_ready)
    {
        throw request_error({problem_kind::not_ready, core::execution::not_run,
                             "no configuration is in force here yet",
                             std::chrono::milliseconds(1000)});
    }
    if (!request->m_caller.m_digest)
    {
        throw request_error(
            {problem_kind::key_missing, core::execution::not_run, "this route needs a key", {}});
    }
    const config::key_check_result key = m_config->check(*request->m_caller.m_digest, now);
    if (key.m_verdict != config::key_verdict::accepted)
    {
        throw request_error(key_problem(key.m_verdict));
    }
    const auto model = core::id_of<core::model_id>(request->m_model);
    if (!m_routing->engines().serves(model))
    {
        throw request_error({problem_kind::no_such_model,
                             core::execution::not_run,
                             "no engine serves the model " + request->m_model,
                             {}});
    }

    running each;
    each.m_request = request;
    each.m_listener = std::move(listener);
    each.m_workspace = key.m_workspace;
    each.m_priority = bundle->m_workspaces.at(key.m_workspace_index).m_priority;
    each.m_fingerprint = core::hash_pair(core::value_of(key.m_workspace), request->m_fingerprint);
    each.m_arrived = arrived;
    const auto limit = bundle->m_limits.m_request_timeout;
    each.m_deadline = arrived + std::min(request->m_timeout.value_or(limit), limit);
    each.m_identity.m_workspace_id = key.m_workspace;
    each.m_identity.m_model_id = model;
    if (!request->m_adapter.empty())
    {
        each.m_identity.m_adapter_id = core::id_of<core::adapter_id>(request->m_adapter);
    }
    return m_requests.insert_or_assign(request->m_id, std::move(each)).first->second;
}

void completion_flow::on_admitted(const limits::admitted& decision)
{
    running* each = find(decision.m_request);
    if (each == nullptr)
    {
        return;
    }
    observe::log("admitted", {{"request", core::value_of(decision.m_request)},
                              {"workspace", core::value_of(each->m_workspace)},
                              {"charge", decision.m_charge},
                              {"loans", decision.m_loans}});
    start_routing(decision.m_request, *each, core::runtime_clock::now());
}

void completion_flow::on_limit_refused(const limits::refused& decision)
{
    const running* each = find(decision.m_request);
    if (each == nullptr)
    {
        return;
    }
    m_context.m_metrics.count_limit_refusal(limits::to_string(decision.m_reason));
    observe::log("refused", {{"request", core::value_of(decision.m_request)},
                             {"workspace", core::value_of(each->m_workspace)},
                             {"reason", limits::to_string(decision.m_reason)}});
    const auto listener = each->m_listener;
    m_requests.erase(decision.m_request);
    m_callers.post([listener, told = limit_problem(decision)] { listener->on_refused(told); });
}

void completion_flow::start_routing(core::request_id id, running& each, core::time_point now)
{
    // The weights version is part of the prompt's identity, so it is chosen before the chain.
    each.m_identity.m_weights_version = m_routing->engines().weights_for(
        each.m_identity.m_model_id, core::value_of(each.m_workspace));
    each.m_chain.assign(each.m_identity, each.m_request->m_prompt);
    each.m_stage = stage::routing;
    const std::uint64_t output = each.m_request->m_max_output_tokens;
    m_routing->router().begin({id, each.m_identity, each.m_chain, each.m_request->m_prompt_tokens,
                               output, each.m_deadline, each.m_excluded},
                              now);
}

void completion_flow::on_routed(const routing::routed& decision)
{
    const core::time_point now = core::runtime_clock::now();
    running* each = find(decision.m_request_id);
    if (each == nullptr)
    {
        m_routing->router().on_finished(decision.m_request_id, 0, now);
        return;
    }
    const core::request_id id = decision.m_request_id;
    log_decision(*each, decision);
    m_context.m_metrics.count_decision(routing::to_string(decision.m_reason));
    each->m_engine = decision.m_engine;
    each->m_incarnation = decision.m_incarnation;
    each->m_expected_hit = decision.m_expected_hit_pieces;
    each->m_expected_wait = decision.m_expected_queue_time + decision.m_prefill_time;
    switch (m_recovery->crash_attribution().check(each->m_fingerprint, decision.m_engine, now))
    {
    case recovery::dispatch_verdict::quarantined:
        leave_engine(id, *each, 0, now);
        refuse(id, {problem_kind::quarantined,
                    each->m_execution,
                    "this request crashed several engines and is refused for a while",
                    {}});
        return;
    case recovery::dispatch_verdict::hold:
        leave_engine(id, *each, 0, now);
        pause(id, *each, now + reroute_pause);
        return;
    case recovery::dispatch_verdict::allowed:
        break;
    }
    queue(id, *each, now);
}

void completion_flow::log_decision(const running& each, const routing::routed& decision) const
{
    const auto milliseconds = [](core::duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    const auto name = [this](core::upstream_id engine) {
        const engine_info* info = m_routing->engines().find(engine);
        return info == nullptr ? std::string("none") : info->m_name;
    };
    observe::log("routed", {{"request", core::value_of(decision.m_request_id)},
                            {"workspace", core::value_of(each.m_workspace)},
                            {"attempt", each.m_attempt},
                            {"engine", name(decision.m_engine)},
                            {"reason", routing::to_string(decision.m_reason)},
                            {"policy", routing::to_string(decision.m_policy)},
                            {"pieces", decision.m_pieces},
                            {"expected_hit", decision.m_expected_hit_pieces},
                            {"wait_ms", milliseconds(decision.m_expected_queue_time)},
                            {"cost_ms", milliseconds(decision.m_cost)},
                            {"runner_up", name(decision.m_runner_up)},
                            {"runner_up_cost_ms", milliseconds(decision.m_runner_up_cost)},
                            {"candidates", decision.m_candidates},
                            {"replies", decision.m_replies},
                            {"anchor", decision.m_anchor_depth}});
}

void completion_flow::on_unroutable(const routing::unroutable& decision)
{
    running* each = find(decision.m_request_id);
    if (each == nullptr)
    {
        return;
    }
    // After a failed attempt, engines that were set aside are better than none.
    if (decision.m_reason == routing::unroutable_reason::all_excluded)
    {
        each->m_excluded.clear();
        pause(decision.m_request_id, *each, core::runtime_clock::now() + reroute_pause);
        return;
    }
    refuse(decision.m_request_id,
           {problem_kind::no_upstream, each->m_execution, routing::to_string(decision.m_reason),
            std::chrono::milliseconds(1000)});
}

void completion_flow::pause(core::request_id id, running& each, core::time_point until)
{
    each.m_stage = stage::waiting;
    m_wakes.emplace(until, id);
}

void completion_flow::queue(core::request_id id, running& each, core::time_point now)
{
    each.m_stage = stage::queued;
    auto& queue = m_queues.try_emplace(each.m_engine, m_queue_settings).first->second;
    queue.push({id, each.m_workspace,
                each.m_request->m_prompt_tokens + each.m_request->m_max_output_tokens,
                limits::request_priority::standard, each.m_deadline},
               now);
}

void completion_flow::send(core::request_id id, core::time_point now)
{
    running* each = find(id);
    const engine_info* engine =
        each == nullptr ? nullptr : m_routing->engines().find(each->m_engine);
    if (engine == nullptr)
    {
        return;
    }
    // The key may have been withdrawn while the request waited.
    const config::key_check_result key = m_config->check(*each->m_request->m_caller.m_digest, now);
    if (key.m_verdict != config::key_verdict::accepted)
    {
        leave_engine(id, *each, 0, now);
        problem told = key_problem(key.m_verdict);
        told.m_execution = each->m_execution;
        refuse(id, told);
        return;
    }
    TARRAGONTRAIL_INVARIANT(key.m_workspace == each->m_workspace, "runs_for_key_owner");
    each->m_stage = stage::dispatched;
    each->m_execution = core::execution::unknown;
    m_routing->router().on_dispatched(id, now);
    m_recovery->crash_attribution().on_dispatched(each->m_fingerprint, each->m_engine);
    if (each->m_attempt == 1)
    {
        m_recovery->budget().on_request();
    }
    dispatch_order order{
        id,
        each->m_attempt,
        each->m_engine,
        engine->m_name,
        engine->m_endpoint,
        routing::cache_salt(each->m_identity),
        each->m_priority,
        each->m_deadline,
        std::chrono::duration_cast<std::chrono::milliseconds>(each->m_expected_wait)};
    m_callers.post([listener = each->m_listener, order] { listener->on_dispatch(order); });
}

bool completion_flow::run_actions(core::time_point now)
{
    bool any = false;
    for (auto& [engine, queue] : m_queues)
    {
        const auto actions = queue.take_actions();
        any = any || !actions.empty();
        for (const auto& action : actions)
        {
            if (const auto* ready = std::get_if<limits::dispatch>(&action))
            {
                send(ready->m_request, now);
                continue;
            }
            const auto& refused = std::get<limits::queue_refused>(action);
            running* each = find(refused.m_request);
            if (each == nullptr)
            {
                continue;
            }
            leave_engine(refused.m_request, *each, 0, now);
            const bool full = refused.m_reason == limits::queue_refusal::queue_full;
            refuse(refused.m_request,
                   {full ? problem_kind::overloaded : problem_kind::deadline_passed,
                    each->m_execution, limits::to_string(refused.m_reason),
                    std::chrono::milliseconds(1000)});
        }
    }
    return any;
}

std::optional<core::time_point> completion_flow::next_deadline() const
{
    std::optional<core::time_point> next;
    if (!m_requests.empty())
    {
        next = m_next_recheck;
    }
    for (const auto& [engine, queue] : m_queues)
    {
        next = earlier(next, queue.next_deadline());
    }
    if (!m_wakes.empty())
    {
        next = earlier(next, m_wakes.begin()->first);
    }
    return next;
}

void completion_flow::on_timer(core::time_point now)
{
    for (auto& [engine, queue] : m_queues)
    {
        queue.on_timer(now);
    }
    while (!m_wakes.empty() && m_wakes.begin()->first <= now)
    {
        const core::request_id id = m_wakes.begin()->second;
        m_wakes.erase(m_wakes.begin());
        running* each = find(id);
        if (each != nullptr && each->m_stage == stage::waiting)
        {
            start_routing(id, *each, now);
        }
    }
    if (now >= m_next_recheck)
    {
        recheck_keys(now);
    }
}

} // namespace tarragontrail::entry
