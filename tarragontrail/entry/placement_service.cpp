#include "tarragontrail/entry/placement_service.hpp"

#include "tarragontrail/entry/table_bridge.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/wire/json_document.hpp"
#include "tarragontrail/wire/json_fields.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tarragontrail::entry {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

net::call_settings engine_call(std::chrono::milliseconds longest)
{
    net::call_settings settings;
    settings.m_connect_timeout = std::chrono::milliseconds(500);
    settings.m_first_byte_timeout = longest;
    settings.m_idle_timeout = longest;
    settings.m_fresh_connection = true;
    return settings;
}

/// What `read` takes from an engine's report; nothing without a readable one.
template <class Read>
auto read_report(const net::http_client::fetch_result& result, core::upstream_id engine, Read read)
    -> std::optional<decltype(read(json()))>
{
    if (!result.m_ok || result.m_response.result_int() != status_ok)
    {
        return std::nullopt;
    }
    try
    {
        return read(wire::parse_json(result.m_response.body()));
    }
    catch (const wire::json_error& failure)
    {
        observe::log("load_report_refused",
                     {{"engine", core::value_of(engine)}, {"reason", failure.what()}});
        return std::nullopt;
    }
}

const char* name_of(placement::order_kind kind)
{
    switch (kind)
    {
    case placement::order_kind::load_model:
        return "load";
    case placement::order_kind::unload_model:
        return "unload";
    case placement::order_kind::load_adapter:
        return "load_adapter";
    case placement::order_kind::unload_adapter:
        return "unload_adapter";
    case placement::order_kind::change_role:
        return "role";
    }
    return "unknown";
}

const char* name_of(placement::order_result result)
{
    switch (result)
    {
    case placement::order_result::done:
        return "done";
    case placement::order_result::rejected:
        return "rejected";
    case placement::order_result::undone:
        return "undone";
    }
    return "unknown";
}

} // namespace

placement_service::placement_service(control_context& context, const placement_settings& settings,
                                     membership_service& membership, routing_service& routing,
                                     std::uint64_t seed)
    : m_context(context), m_settings(settings), m_membership(membership), m_routing(routing),
      m_client(context.m_control.context()), m_random(seed)
{}

void placement_service::on_bundle(const std::shared_ptr<const config::bundle>& applied)
{
    m_bundle = applied;
}

std::vector<core::model_id> placement_service::own_models() const
{
    std::vector<core::model_id> models;
    if (!m_bundle)
    {
        return models;
    }
    for (const config::model& each : m_bundle->m_models)
    {
        const auto id = core::id_of<core::model_id>(each.m_name);
        const membership::member* owner = m_membership.current().owner_of(core::value_of(id));
        if (owner != nullptr && owner->m_id == m_context.m_self.m_id)
        {
            models.push_back(id);
        }
    }
    return models;
}

placement::weights_version placement_service::desired_version(core::model_id model) const
{
    for (const config::model& each : m_bundle->m_models)
    {
        if (core::id_of<core::model_id>(each.m_name) == model)
        {
            return placement::weights_version{weights_number(each.m_weights_version)};
        }
    }
    return {};
}

bool placement_service::is_settled(core::model_id model) const
{
    const std::uint64_t wanted = core::value_of(desired_version(model));
    for (const auto& [id, engine] : m_routing.engines().all())
    {
        const bool reached =
            engine.m_status.m_weights_version == wanted && !engine.m_status.m_draining;
        if (engine.m_model == model && !reached)
        {
            return false;
        }
    }
    return true;
}

void placement_service::plan(core::model_id model, core::time_point now)
{
    if (is_settled(model))
    {
        return;
    }
    std::vector<placement::desired_engine> desired;
    std::vector<placement::observed_engine> observed;
    for (const auto& [id, engine] : m_routing.engines().all())
    {
        // An engine of unknown incarnation was not heard of yet, so its weights are not known.
        if (engine.m_model != model || engine.m_status.m_incarnation == core::incarnation{})
        {
            continue;
        }
        managed& each = manage(id);
        ask_running(id);
        if (each.m_failed_loads > 0 && now - each.m_last_failure >= m_settings.m_failure_lapse)
        {
            each.m_failed_loads = 0;
        }
        const placement::weights_version present{engine.m_status.m_weights_version};
        desired.push_back(
            {id, {model, desired_version(model), {}, placement::engine_role::combined}});
        observed.push_back({id,
                            {model, present, {}, placement::engine_role::combined},
                            each.m_answers,
                            engine.m_status.m_draining,
                            each.m_pending > 0,
                            each.m_running + m_routing.router().in_flight_requests(id),
                            each.m_failed_loads});
    }
    for (const auto& step : placement::plan_rollout(m_settings.m_rollout, desired, observed))
    {
        take(step, now);
    }
}

placement_service::managed& placement_service::manage(core::upstream_id engine)
{
    managed& each = m_engines[engine];
    if (!each.m_sender)
    {
        each.m_sender = std::make_unique<placement::order_sender>(
            m_settings.m_sender, engine, m_routing.engines().find(engine)->m_checks_fence,
            m_context.m_self.m_id, m_context.m_self.m_incarnation, m_random());
    }
    return each;
}

void placement_service::ask_running(core::upstream_id engine)
{
    managed& each = m_engines.at(engine);
    if (each.m_asked)
    {
        return;
    }
    each.m_asked = true;
    m_client.fetch(
        m_routing.engines().find(engine)->m_endpoint, net::make_request(http::verb::get, "/load"),
        engine_call(m_settings.m_plan_interval),
        [this, engine](const net::http_client::fetch_result& result) {
            managed& asked = m_engines.at(engine);
            asked.m_asked = false;
            const auto running = read_report(result, engine, [](const json& report) {
                return wire::count_or(report, "running", 0) + wire::count_or(report, "waiting", 0);
            });
            asked.m_answers = running.has_value();
            asked.m_running = running.value_or(asked.m_running);
        });
}

void placement_service::take(const placement::rollout_step& step, core::time_point now)
{
    if (const auto* drain = std::get_if<placement::drain_engine>(&step))
    {
        observe::log("placement_drain", {{"engine", core::value_of(drain->m_upstream)}});
        m_routing.set_draining(drain->m_upstream, true, now);
    }
    else if (const auto* admit = std::get_if<placement::admit_engine>(&step))
    {
        observe::log("placement_admit", {{"engine", core::value_of(admit->m_upstream)},
                                         {"weights", core::value_of(admit->m_version)}});
        m_routing.set_draining(admit->m_upstream, false, now);
    }
    else if (const auto* order = std::get_if<placement::submit_order>(&step))
    {
        placement::engine_order numbered = order->m_order;
        numbered.m_number = m_next_order++;
        managed& each = manage(order->m_upstream);
        ++each.m_pending;
        if (placement::takes_load_slot(numbered))
        {
            m_loads[numbered.m_number] = numbered.m_model;
        }
        each.m_sender->submit(numbered, now);
    }
    else
    {
        const auto& aborted = std::get<placement::rollout_aborted>(step);
        observe::log("rollout_aborted", {{"model", core::value_of(aborted.m_model)},
                                         {"weights", core::value_of(aborted.m_version)},
                                         {"failures", aborted.m_failures}});
    }
}

bool placement_service::run_actions(core::time_point now)
{
    bool any = false;
    for (auto& [engine, each] : m_engines)
    {
        const auto actions = each.m_sender->take_actions();
        any = any || !actions.empty();
        for (const auto& action : actions)
        {
            carry_out(engine, each, action, now);
        }
    }
    return any;
}

void placement_service::carry_out(core::upstream_id engine, managed& each,
                                  const placement::order_action& action, core::time_point now)
{
    if (const auto* read = std::get_if<idempotency::table_read>(&action))
    {
        bridge_read(m_context, *each.m_sender, *read);
    }
    else if (const auto* write = std::get_if<idempotency::table_write>(&action))
    {
        bridge_write(m_context, *each.m_sender, *write);
    }
    else if (const auto* order = std::get_if<placement::send_order>(&action))
    {
        send(engine, *order, now);
    }
    else if (const auto* state = std::get_if<placement::read_engine>(&action))
    {
        read_state(engine, state->m_number);
    }
    else if (const auto* ended = std::get_if<placement::order_ended>(&action))
    {
        end_order(engine, each, *ended, now);
    }
}

void placement_service::send(core::upstream_id engine, const placement::send_order& order,
                             core::time_point now)
{
    const engine_info* info = m_routing.engines().find(engine);
    managed& each = m_engines.at(engine);
    if (info == nullptr || now > order.m_latest_send)
    {
        each.m_sender->on_order_not_sent(order.m_order.m_number, now);
        return;
    }
    observe::log("order_sent", {{"engine", info->m_name},
                                {"kind", name_of(order.m_order.m_kind)},
                                {"weights", core::value_of(order.m_order.m_version)},
                                {"fence", order.m_fence}});
    const json body{{"fence", order.m_fence},
                    {"kind", name_of(order.m_order.m_kind)},
                    {"model", info->m_model_name},
                    {"weights_version", core::value_of(order.m_order.m_version)}};
    m_client.fetch(info->m_endpoint, net::make_request(http::verb::post, "/orders", body.dump()),
                   engine_call(m_settings.m_sender.m_max_order_duration),
                   [this, engine,
                    number = order.m_order.m_number](const net::http_client::fetch_result& result) {
                       on_order_reply(engine, number, result);
                       m_context.m_pump();
                   });
}

void placement_service::on_order_reply(core::upstream_id engine, std::uint64_t number,
                                       const net::http_client::fetch_result& result)
{
    const core::time_point now = core::runtime_clock::now();
    placement::order_sender& sender = *m_engines.at(engine).m_sender;
    if (!result.m_ok)
    {
        if (result.m_failure.m_stage == net::call_stage::connecting)
        {
            sender.on_order_not_sent(number, now);
            return;
        }
        sender.on_order_lost(number, now);
        return;
    }
    const unsigned status = result.m_response.result_int();
    const json body = json::parse(result.m_response.body(), nullptr, false);
    const bool old_fence =
        status == status_conflict && body.is_object() && body.contains("highest_fence");
    if (old_fence)
    {
        sender.on_fence_refused(number, now);
        return;
    }
    sender.on_order_answered(number, status == status_ok, now);
}

void placement_service::read_state(core::upstream_id engine, std::uint64_t number)
{
    const engine_info* info = m_routing.engines().find(engine);
    if (info == nullptr)
    {
        m_engines.at(engine).m_sender->on_engine_state_failed(number, core::runtime_clock::now());
        return;
    }
    m_client.fetch(info->m_endpoint, net::make_request(http::verb::get, "/load"),
                   engine_call(m_settings.m_sender.m_max_order_duration),
                   [this, engine, number](const net::http_client::fetch_result& result) {
                       const core::time_point now = core::runtime_clock::now();
                       placement::order_sender& sender = *m_engines.at(engine).m_sender;
                       const auto state = read_report(result, engine, [](const json& report) {
                           const auto model =
                               core::id_of<core::model_id>(wire::text_or(report, "model", {}));
                           const placement::weights_version version{
                               wire::count_or(report, "weights_version", 0)};
                           return placement::engine_state{
                               model, version, {}, placement::engine_role::combined};
                       });
                       if (state)
                       {
                           sender.on_engine_state(number, *state, now);
                       }
                       else
                       {
                           sender.on_engine_state_failed(number, now);
                       }
                       m_context.m_pump();
                   });
}

void placement_service::end_order(core::upstream_id engine, managed& each,
                                  const placement::order_ended& ended, core::time_point now)
{
    each.m_pending -= std::min<std::uint64_t>(each.m_pending, 1);
    const bool is_load = m_loads.erase(ended.m_number) > 0;
    if (is_load && ended.m_result != placement::order_result::done)
    {
        ++each.m_failed_loads;
        each.m_last_failure = now;
    }
    observe::log("order_ended",
                 {{"engine", core::value_of(engine)}, {"result", name_of(ended.m_result)}});
}

std::optional<core::time_point> placement_service::next_deadline() const
{
    std::optional<core::time_point> next = m_next_plan;
    for (const auto& [engine, each] : m_engines)
    {
        next = earlier(next, each.m_sender->next_deadline());
    }
    return next;
}

void placement_service::on_timer(core::time_point now)
{
    for (auto& [engine, each] : m_engines)
    {
        each.m_sender->on_timer(now);
    }
    if (now < m_next_plan)
    {
        return;
    }
    m_next_plan = now + m_settings.m_plan_interval;
    for (const core::model_id model : own_models())
    {
        plan(model, now);
    }
}

} // namespace tarragontrail::entry
