#include "tarragontrail/entry/routing_service.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/routing/prefix_probe.hpp"
#include "tarragontrail/wire/cbor_fields.hpp"

#include <type_traits>

namespace tarragontrail::entry {
namespace {

std::string serialise(const routing::anchor_hint& hint)
{
    return wire::encode(hint);
}

} // namespace

routing_service::routing_service(control_context& context, const routing_service_settings& settings,
                                 membership_service& membership, routing_listener& listener,
                                 std::uint64_t seed)
    : m_context(context), m_settings(settings), m_membership(membership), m_listener(listener),
      m_client(context.m_control.context()),
      m_router({context.m_self.m_id, context.m_self.m_region_id, seed}, settings.m_router)
{}

void routing_service::on_bundle(const config::bundle& applied, core::time_point now)
{
    m_engines.on_bundle(applied);
    refresh_router(now);
    choose_watched(now);
}

void routing_service::on_view(core::time_point now)
{
    choose_watched(now);
}

void routing_service::on_gossip(const membership::gossip_item& item, core::time_point now)
{
    try
    {
        if (item.m_kind == static_cast<std::uint64_t>(gossip_kind::anchor))
        {
            const wire::message message = wire::decode(item.m_payload);
            if (const auto* hint = std::get_if<wire::anchor_hint>(&message))
            {
                m_router.on_anchor_hint(*hint, now);
            }
            return;
        }
        if (item.m_kind == static_cast<std::uint64_t>(gossip_kind::engine_status))
        {
            const core::upstream_id engine{item.m_key};
            if (m_engines.on_status(engine, parse_engine_status(item.m_payload)))
            {
                refresh_router(now);
            }
        }
    }
    catch (const wire::decode_error& failure)
    {
        observe::log("gossip_refused", {{"reason", failure.what()}});
    }
}

bool routing_service::on_message(core::instance_id from, const wire::message& message,
                                 core::time_point now)
{
    if (const auto* request = std::get_if<wire::lookup_request>(&message))
    {
        answer_lookup(from, *request, now);
        return true;
    }
    if (const auto* answer = std::get_if<wire::lookup_answer>(&message))
    {
        take_answer(*answer, now);
        return true;
    }
    return false;
}

void routing_service::set_reachable(core::upstream_id engine, bool reachable, core::time_point now)
{
    m_engines.set_reachable(engine, reachable);
    refresh_router(now);
}

void routing_service::set_draining(core::upstream_id engine, bool draining, core::time_point now)
{
    const engine_info* info = m_engines.find(engine);
    if (info == nullptr || info->m_status.m_draining == draining)
    {
        return;
    }
    engine_status status = info->m_status;
    status.m_draining = draining;
    publish(engine, status, now);
}

bool routing_service::run_actions(core::time_point /*now*/)
{
    const auto actions = m_router.take_actions();
    for (const auto& action : actions)
    {
        if (const auto* lookup = std::get_if<routing::send_lookup>(&action))
        {
            send_lookup(*lookup);
        }
        else if (const auto* decision = std::get_if<routing::routed>(&action))
        {
            m_listener.on_routed(*decision);
        }
        else
        {
            m_listener.on_unroutable(std::get<routing::unroutable>(action));
        }
    }
    return !actions.empty();
}

std::optional<core::time_point> routing_service::next_deadline() const
{
    std::optional<core::time_point> next = earlier(m_next_hints, m_router.next_deadline());
    for (const auto& [engine, watcher] : m_watchers)
    {
        next = earlier(next, watcher->next_deadline());
    }
    return next;
}

void routing_service::on_timer(core::time_point now)
{
    m_router.on_timer(now);
    for (const auto& [engine, watcher] : m_watchers)
    {
        watcher->on_timer(now);
    }
    if (now >= m_next_hints)
    {
        send_hints(now);
    }
}

void routing_service::choose_watched(core::time_point now)
{
    // Engines that moved to another instance, or left the bundle, are let go.
    const auto is_mine = [this](const engine_info& engine) {
        return m_membership.owner_of(core::value_of(engine.m_id), engine.m_region) ==
               m_context.m_self.m_id;
    };
    for (auto place = m_watchers.begin(); place != m_watchers.end();)
    {
        const engine_info* engine = m_engines.find(place->first);
        if (engine != nullptr && is_mine(*engine))
        {
            ++place;
            continue;
        }
        m_router.set_local_index(place->first, nullptr);
        place->second->stop();
        place = m_watchers.erase(place);
    }
    for (const auto& [id, engine] : m_engines.all())
    {
        if (!is_mine(engine) || m_watchers.contains(id))
        {
            continue;
        }
        watch(engine, now);
    }
}

void routing_service::watch(const engine_info& engine, core::time_point now)
{
    observe::log("engine_watched", {{"engine", engine.m_name}});
    const core::upstream_id id = engine.m_id;
    auto watcher =
        std::make_shared<engine_watcher>(m_client, id, engine.m_endpoint, m_settings.m_watcher,
                                         [this, id](const std::optional<engine_report>& report) {
                                             on_report(id, report);
                                             m_context.m_pump();
                                         });
    watcher->start(now);
    m_router.set_local_index(id, &watcher->index());
    m_watchers.emplace(id, std::move(watcher));
}

void routing_service::on_report(core::upstream_id engine,
                                const std::optional<engine_report>& report)
{
    const engine_info* info = m_engines.find(engine);
    if (!report || info == nullptr)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    const core::incarnation before = info->m_status.m_incarnation;
    engine_status status = info->m_status;
    status.m_incarnation = report->m_load.m_incarnation;
    status.m_weights_version = report->m_weights_version;
    // Repeated now and then, for instances that started after the last change.
    const core::time_point repeat = m_published[engine] + m_settings.m_status_interval;
    if (!status.same_state(info->m_status) || now >= repeat)
    {
        publish(engine, status, now);
    }
    if (before != core::incarnation{} && report->m_load.m_incarnation > before)
    {
        m_listener.on_engine_restarted(engine, before);
    }
    m_router.on_load_report(engine, report->m_load, now);
}

void routing_service::publish(core::upstream_id engine, engine_status status, core::time_point now)
{
    // Wall-clock time orders the words of successive watchers of one engine.
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto stamp = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
    const engine_info* info = m_engines.find(engine);
    status.m_order = std::max(stamp, info->m_status.m_order + 1);
    observe::log("engine_status", {{"engine", info->m_name},
                                   {"incarnation", core::value_of(status.m_incarnation)},
                                   {"weights", status.m_weights_version},
                                   {"draining", status.m_draining}});
    m_engines.on_status(engine, status);
    m_published[engine] = now;
    m_membership.spread(gossip_kind::engine_status, core::value_of(engine), status.m_order,
                        entry::serialise(status));
    refresh_router(now);
}

void routing_service::send_lookup(const routing::send_lookup& action)
{
    const engine_info* engine = m_engines.find(action.m_engine);
    if (engine == nullptr)
    {
        return;
    }
    const core::instance_id watcher =
        m_membership.owner_of(core::value_of(engine->m_id), engine->m_region);
    m_context.m_peers.send(watcher, action.m_request);
}

void routing_service::answer_lookup(core::instance_id from, const routing::lookup_request& request,
                                    core::time_point now)
{
    wire::lookup_answer answer;
    answer.m_reply.m_lookup_id = request.m_lookup_id;
    answer.m_reply.m_engine = request.m_engine;
    answer.m_reply.m_depth_upper = request.m_depths.empty() ? 0 : request.m_depths.back();
    const auto found = m_watchers.find(request.m_engine);
    if (found != m_watchers.end())
    {
        const engine_watcher& watcher = *found->second;
        answer.m_reply = routing::answer_lookup(request, watcher.index());
        if (watcher.report())
        {
            const routing::load_report& load = watcher.report()->m_load;
            answer.m_has_load = true;
            answer.m_load_incarnation = load.m_incarnation;
            answer.m_queued_tokens = load.m_queued_tokens;
            answer.m_running = load.m_running;
            answer.m_prefill_tokens_per_second = load.m_prefill_tokens_per_second;
            answer.m_decode_tokens_per_second = load.m_decode_tokens_per_second;
            answer.m_load_age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - load.m_reported_at);
        }
    }
    m_context.m_peers.send(from, answer);
}

void routing_service::take_answer(const wire::lookup_answer& answer, core::time_point now)
{
    if (answer.m_has_load)
    {
        routing::load_report load;
        load.m_incarnation = answer.m_load_incarnation;
        load.m_queued_tokens = answer.m_queued_tokens;
        load.m_running = answer.m_running;
        load.m_prefill_tokens_per_second = answer.m_prefill_tokens_per_second;
        load.m_decode_tokens_per_second = answer.m_decode_tokens_per_second;
        load.m_reported_at = now - answer.m_load_age;
        m_router.on_load_report(answer.m_reply.m_engine, load, now);
    }
    m_router.on_lookup_reply(answer.m_reply, now);
}

void routing_service::send_hints(core::time_point now)
{
    m_next_hints = now + m_settings.m_hint_interval;
    for (const routing::anchor_hint& hint : m_router.next_anchor_hints(m_settings.m_hints))
    {
        m_membership.spread(gossip_kind::anchor, hint.m_group, hint.m_epoch, serialise(hint));
    }
}

void routing_service::refresh_router(core::time_point now)
{
    m_router.set_engines(m_engines.entries(), now);
}

} // namespace tarragontrail::entry
