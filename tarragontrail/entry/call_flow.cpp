#include "tarragontrail/entry/call_flow.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/entry/refusal_problems.hpp"
#include "tarragontrail/entry/table_bridge.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::entry {
namespace {

constexpr std::uint64_t bytes_per_token = 4;

const config::service_route* find_route(const config::bundle& bundle, std::string_view path)
{
    const config::service_route* best = nullptr;
    for (const config::service_route& route : bundle.m_service_routes)
    {
        if (!path.starts_with(route.m_path_prefix))
        {
            continue;
        }
        if (best == nullptr || route.m_path_prefix.size() > best->m_path_prefix.size())
        {
            best = &route;
        }
    }
    return best;
}

} // namespace

call_flow::call_flow(control_context& context, net::duty& callers, std::uint64_t seed)
    : m_context(context), m_callers(callers),
      m_guard(idempotency::call_guard_settings{}, context.m_self.m_id, context.m_self.m_incarnation,
              seed)
{}

void call_flow::connect(config_service& config, limits_service& limits, recovery_service& recovery)
{
    m_config = &config;
    m_limits = &limits;
    m_recovery = &recovery;
}

void call_flow::on_bundle(const std::shared_ptr<const config::bundle>& applied)
{
    for (const config::upstream& each : applied->m_upstreams)
    {
        m_recovery->set_endpoint(each.m_id, net::make_endpoint(each.m_address, each.m_port));
    }
}

call_flow::running* call_flow::find(core::request_id id)
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second;
}

void call_flow::begin(const std::shared_ptr<const call_request>& request,
                      const std::shared_ptr<call_listener>& listener, core::time_point arrived)
{
    const core::time_point now = core::runtime_clock::now();
    try
    {
        running& each = m_calls.insert_or_assign(request->m_id, admit(request, listener, arrived))
                            .first->second;
        if (each.m_keyed)
        {
            const std::uint64_t charge = 1 + request->m_body.size() / bytes_per_token;
            m_limits->admission().admit(request->m_id, each.m_workspace, charge, each.m_deadline,
                                        now);
        }
        else
        {
            start(request->m_id, each, now);
        }
    }
    catch (const request_error& failure)
    {
        m_context.m_metrics.count_request(to_string(failure.told().m_kind));
        m_callers.post([listener, told = failure.told()] { listener->on_refused(told); });
    }
    m_context.m_pump();
}

call_flow::running call_flow::admit(const std::shared_ptr<const call_request>& request,
                                    std::shared_ptr<call_listener> listener,
                                    core::time_point arrived) const
{
    running each;
    each.m_request = request;
    each.m_listener = std::move(listener);
    each.m_bundle = m_config->applied();
    if (!each.m_bundle)
    {
        throw request_error({problem_kind::not_ready, core::execution::not_run,
                             "no configuration is in force here yet",
                             std::chrono::milliseconds(1000)});
    }
    each.m_route = find_route(*each.m_bundle, request->m_path);
    if (each.m_route == nullptr)
    {
        throw request_error({problem_kind::no_such_route,
                             core::execution::not_run,
                             "nothing is served at this path",
                             {}});
    }
    each.m_keyed = !each.m_bundle->is_open_route(request->m_path);
    if (each.m_keyed)
    {
        if (!request->m_caller.m_digest)
        {
            throw request_error({problem_kind::key_missing,
                                 core::execution::not_run,
                                 "this route needs a key",
                                 {}});
        }
        const config::key_check_result key =
            m_config->check(*request->m_caller.m_digest, core::runtime_clock::now());
        if (key.m_verdict != config::key_verdict::accepted)
        {
            throw request_error(key_problem(key.m_verdict));
        }
        each.m_workspace = key.m_workspace;
    }
    const auto& methods = each.m_route->m_idempotent_methods;
    each.m_idempotent =
        std::find(methods.begin(), methods.end(), request->m_method) != methods.end();
    const auto limit = each.m_bundle->m_limits.m_request_timeout;
    each.m_deadline = arrived + std::min(request->m_timeout.value_or(limit), limit);
    return each;
}

void call_flow::on_admitted(const limits::admitted& decision)
{
    running* each = find(decision.m_request);
    if (each != nullptr)
    {
        each->m_charged = true;
        start(decision.m_request, *each, core::runtime_clock::now());
    }
}

void call_flow::on_limit_refused(const limits::refused& decision)
{
    const running* each = find(decision.m_request);
    if (each == nullptr)
    {
        return;
    }
    m_context.m_metrics.count_limit_refusal(limits::to_string(decision.m_reason));
    const auto listener = each->m_listener;
    m_calls.erase(decision.m_request);
    m_callers.post([listener, told = limit_problem(decision)] { listener->on_refused(told); });
}

void call_flow::start(core::request_id id, running& each, core::time_point now)
{
    if (each.m_idempotent)
    {
        m_recovery->budget().on_request();
        dispatch(id, each, each.m_attempt, now);
        return;
    }
    idempotency::guarded_call call;
    call.m_request = id;
    call.m_workspace = each.m_workspace;
    call.m_key = each.m_request->m_idempotency_key;
    call.m_fingerprint = each.m_request->m_fingerprint;
    call.m_deadline = each.m_deadline;
    m_guard.begin(call, now);
}

const config::upstream* call_flow::choose(const running& each, core::request_id id) const
{
    // Near services first, then by rendezvous on the request, so that load spreads.
    const config::upstream* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank{};
    for (const std::string& name : each.m_route->m_upstreams)
    {
        const auto& all = m_config->applied()->m_upstreams;
        const auto found =
            std::find_if(all.begin(), all.end(),
                         [&name](const config::upstream& one) { return one.m_name == name; });
        if (found == all.end() || found->m_state != config::upstream_state::ready ||
            !m_recovery->allows(found->m_id))
        {
            continue;
        }
        const auto& excluded = each.m_excluded;
        if (std::find(excluded.begin(), excluded.end(), found->m_id) != excluded.end())
        {
            continue;
        }
        const std::pair<bool, std::uint64_t> rank{
            found->m_region == m_context.m_self.m_region,
            core::rendezvous_score(core::value_of(id), core::value_of(found->m_id))};
        if (best == nullptr || rank > best_rank)
        {
            best = &*found;
            best_rank = rank;
        }
    }
    return best;
}

void call_flow::dispatch(core::request_id id, running& each, std::uint64_t attempt,
                         core::time_point now)
{
    // The key may have been withdrawn while the call waited.
    if (each.m_keyed)
    {
        const config::key_check_result key =
            m_config->check(*each.m_request->m_caller.m_digest, now);
        const bool withdrawn = key.m_verdict == config::key_verdict::withdrawn;
        if (withdrawn && each.m_idempotent)
        {
            refuse(id, key_problem(key.m_verdict), now);
            return;
        }
        if (withdrawn)
        {
            m_guard.on_dispatch_not_run(id, attempt, now);
            return;
        }
    }
    const config::upstream* service = choose(each, id);
    each.m_attempt = attempt;
    if (service == nullptr)
    {
        each.m_excluded.clear();
        if (each.m_idempotent)
        {
            refuse(id,
                   {problem_kind::no_upstream, core::execution::not_run,
                    "no service can take the call", std::chrono::milliseconds(1000)},
                   now);
            return;
        }
        m_guard.on_dispatch_not_run(id, attempt, now);
        return;
    }
    each.m_service = service->m_id;
    observe::log(
        "call_routed",
        {{"request", core::value_of(id)},
         {"attempt", attempt},
         {"service", service->m_name},
         {"path", each.m_request->m_path},
         {"idempotent", each.m_idempotent},
         {"reason", service->m_region == m_context.m_self.m_region ? "near" : "other_region"}});
    const call_order order{id, attempt, service->m_name,
                           net::make_endpoint(service->m_address, service->m_port),
                           each.m_deadline};
    m_callers.post([listener = each.m_listener, order] { listener->on_dispatch(order); });
}

void call_flow::on_answered(core::request_id id, std::uint64_t attempt,
                            const idempotency::service_answer& answer, core::time_point now)
{
    running* each = find(id);
    if (each != nullptr)
    {
        m_recovery->on_attempt(each->m_service, connection_outcome::worked, now);
        if (each->m_idempotent)
        {
            this->answer(id, answer, false, now);
            m_context.m_pump();
            return;
        }
    }
    m_guard.on_dispatch_finished(id, attempt, answer, now);
    m_context.m_pump();
}

void call_flow::on_failed(core::request_id id, std::uint64_t attempt,
                          const net::call_failure& failure, core::time_point now)
{
    running* each = find(id);
    const bool not_run = failure.m_stage == net::call_stage::connecting;
    if (each != nullptr)
    {
        observe::log("call_failed", {{"request", core::value_of(id)},
                                     {"attempt", attempt},
                                     {"fault", net::to_string(failure.m_fault)},
                                     {"not_run", not_run}});
        m_recovery->on_attempt(
            each->m_service,
            not_run ? connection_outcome::not_made : connection_outcome::lost_fresh, now);
        each->m_excluded.push_back(each->m_service);
        if (each->m_idempotent)
        {
            retry_or_refuse(id, *each, failure, now);
            m_context.m_pump();
            return;
        }
    }
    if (not_run)
    {
        m_guard.on_dispatch_not_run(id, attempt, now);
    }
    else
    {
        m_guard.on_dispatch_lost(id, attempt, now);
    }
    m_context.m_pump();
}

void call_flow::retry_or_refuse(core::request_id id, running& each,
                                const net::call_failure& failure, core::time_point now)
{
    const bool not_run = failure.m_stage == net::call_stage::connecting;
    const core::execution execution = not_run ? core::execution::not_run : core::execution::unknown;
    const auto decision =
        m_recovery->budget().decide({each.m_attempt, true, execution, each.m_deadline, {}}, now);
    if (const auto* retry = std::get_if<recovery::retry>(&decision))
    {
        m_context.m_metrics.count_retry("call");
        ++each.m_attempt;
        each.m_wake = now + retry->m_after;
        return;
    }
    refuse(id,
           {problem_kind::upstream_failed, execution, "the service failed and no retry is left",
            std::chrono::milliseconds(1000)},
           now);
}

void call_flow::on_abandoned(core::request_id id, core::time_point now)
{
    const running* each = find(id);
    if (each == nullptr || !each->m_idempotent)
    {
        // A guarded call goes on: its answer is stored for the caller's repeat.
        return;
    }
    finish(id, true, now);
    m_context.m_pump();
}

void call_flow::carry_out(const idempotency::call_action& action, core::time_point now)
{
    if (const auto* read = std::get_if<idempotency::table_read>(&action))
    {
        bridge_read(m_context, m_guard, *read);
    }
    else if (const auto* write = std::get_if<idempotency::table_write>(&action))
    {
        bridge_write(m_context, m_guard, *write);
    }
    else if (const auto* object = std::get_if<idempotency::object_write>(&action))
    {
        m_context.m_platform.put_object(
            object->m_name, object->m_content,
            [this, operation = object->m_operation](std::optional<bool> stored) {
                m_guard.on_object_done(operation, stored.has_value(), {},
                                       core::runtime_clock::now());
                m_context.m_pump();
            });
    }
    else if (const auto* wanted = std::get_if<idempotency::object_read>(&action))
    {
        m_context.m_platform.get_object(
            wanted->m_name,
            [this, operation = wanted->m_operation](const std::optional<std::string>& bytes) {
                m_guard.on_object_done(operation, bytes.has_value(), bytes.value_or(""),
                                       core::runtime_clock::now());
                m_context.m_pump();
            });
    }
    else if (const auto* order = std::get_if<idempotency::dispatch>(&action))
    {
        running* each = find(order->m_request);
        if (each != nullptr)
        {
            dispatch(order->m_request, *each, order->m_attempt, now);
        }
    }
    else if (const auto* result = std::get_if<idempotency::answer>(&action))
    {
        answer(result->m_request, result->m_answer, result->m_replayed, now);
    }
    else
    {
        const auto& refused = std::get<idempotency::refuse>(action);
        refuse(refused.m_request, call_problem(refused), now);
    }
}

void call_flow::answer(core::request_id id, const idempotency::service_answer& result,
                       bool replayed, core::time_point now)
{
    const running* each = find(id);
    if (each == nullptr)
    {
        return;
    }
    observe::log(
        "call_answered",
        {{"request", core::value_of(id)}, {"status", result.m_status}, {"replayed", replayed}});
    m_callers.post(
        [listener = each->m_listener, result, replayed] { listener->on_answer(result, replayed); });
    finish(id, !replayed, now);
}

void call_flow::refuse(core::request_id id, const problem& told, core::time_point now)
{
    const running* each = find(id);
    if (each == nullptr)
    {
        return;
    }
    observe::log("refused", {{"request", core::value_of(id)},
                             {"reason", to_string(told.m_kind)},
                             {"execution", core::to_string(told.m_execution)}});
    m_callers.post([listener = each->m_listener, told] { listener->on_refused(told); });
    finish(id, told.m_execution != core::execution::not_run, now);
}

void call_flow::finish(core::request_id id, bool ran, core::time_point now)
{
    const running* each = find(id);
    if (each->m_charged)
    {
        const std::uint64_t charge = 1 + each->m_request->m_body.size() / bytes_per_token;
        m_limits->admission().settle(id, ran ? charge : 0, now);
    }
    else if (each->m_keyed)
    {
        m_limits->admission().cancel(id, now);
    }
    m_calls.erase(id);
}

bool call_flow::run_actions(core::time_point now)
{
    const auto actions = m_guard.take_actions();
    for (const auto& action : actions)
    {
        carry_out(action, now);
    }
    return !actions.empty();
}

std::optional<core::time_point> call_flow::next_deadline() const
{
    std::optional<core::time_point> next = m_guard.next_deadline();
    for (const auto& [id, each] : m_calls)
    {
        next = earlier(next, each.m_wake);
    }
    return next;
}

void call_flow::on_timer(core::time_point now)
{
    m_guard.on_timer(now);
    std::vector<core::request_id> due;
    for (const auto& [id, each] : m_calls)
    {
        if (each.m_wake && now >= *each.m_wake)
        {
            due.push_back(id);
        }
    }
    for (const core::request_id id : due)
    {
        running* each = find(id);
        each->m_wake.reset();
        dispatch(id, *each, each->m_attempt, now);
    }
}

} // namespace tarragontrail::entry
