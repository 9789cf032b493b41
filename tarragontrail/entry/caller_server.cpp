#include "tarragontrail/entry/caller_server.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/net/client_bounds.hpp"
#include "tarragontrail/observe/log.hpp"

#include <nlohmann/json.hpp>

namespace tarragontrail::entry {
namespace {

using nlohmann::json;

constexpr unsigned status_ok = 200;

problem fault_problem(net::request_fault fault)
{
    switch (fault)
    {
    case net::request_fault::head_too_large:
        return {problem_kind::request_too_large,
                core::execution::not_run,
                "the request's head is too large",
                {}};
    case net::request_fault::body_too_large:
        return {problem_kind::request_too_large,
                core::execution::not_run,
                "the request's body is too large",
                {}};
    case net::request_fault::too_slow:
        return {problem_kind::request_too_slow,
                core::execution::not_run,
                "the request did not arrive in time",
                {}};
    case net::request_fault::unanswered:
        return {problem_kind::outcome_unknown,
                core::execution::unknown,
                "the request was given up without an answer",
                {}};
    case net::request_fault::no_memory:
        return {problem_kind::overloaded, core::execution::not_run,
                "the memory for requests is used up", std::chrono::milliseconds(1000)};
    case net::request_fault::malformed:
        break;
    }
    return {problem_kind::malformed_request, core::execution::not_run, "not an HTTP request", {}};
}

template <class Id>
std::optional<Id> optional_id(const std::string& name)
{
    return name.empty() ? std::nullopt : std::optional<Id>(core::id_of<Id>(name));
}

json locate_json(const membership::locate_answer& answer)
{
    json addresses = json::array();
    for (const membership::location& each : answer.m_locations)
    {
        addresses.push_back({{"address", each.m_address}, {"port", each.m_port}});
    }
    return {{"locations", std::move(addresses)}, {"keep_ms", answer.m_ttl.count()}};
}

} // namespace

caller_server::caller_server(net::duty& callers, control_port& control, control_plane& plane,
                             const caller_settings& settings, observe::metrics& metrics)
    : m_callers(callers), m_control(control), m_plane(plane), m_settings(settings),
      m_metrics(metrics), m_client(callers.context()),
      m_id_seed(core::hash_pair(core::value_of(plane.self().m_id),
                                core::value_of(plane.self().m_incarnation))),
      m_server(
          callers.context(),
          net::make_endpoint(plane.self().m_address, plane.self().m_ports.m_caller),
          settings.m_server,
          [this](const std::shared_ptr<net::http_exchange>& exchange) { on_request(exchange); },
          [this](net::request_fault fault) {
              m_metrics.count_request("bad_input");
              return problem_response(fault_problem(fault));
          })
{
    m_client.set_receive_buffer(net::client_bounds::upstream_receive_buffer_bytes);
}

void caller_server::stop_accepting()
{
    m_server.stop_accepting();
}

core::request_id caller_server::next_id()
{
    return core::request_id{core::hash_pair(m_id_seed, ++m_requests)};
}

void caller_server::on_request(const std::shared_ptr<net::http_exchange>& exchange)
{
    try
    {
        route(exchange);
    }
    catch (const request_error& failure)
    {
        m_metrics.count_request(to_string(failure.told().m_kind));
        observe::log("refused", {{"reason", to_string(failure.told().m_kind)},
                                 {"detail", failure.told().m_detail}});
        exchange->respond(problem_response(failure.told()));
    }
}

void caller_server::route(const std::shared_ptr<net::http_exchange>& exchange)
{
    const std::string_view path = net::path_of(net::target_of(exchange->request()));
    if (path == "/v1/locate")
    {
        locate(exchange);
        return;
    }
    if (path == "/v1/models")
    {
        list_models(exchange);
        return;
    }
    if (m_sessions >= m_settings.m_session_limit)
    {
        throw request_error({problem_kind::overloaded, core::execution::not_run,
                             "this instance serves as many requests as it can",
                             std::chrono::milliseconds(1000)});
    }
    if (path == "/v1/chat/completions")
    {
        start_completion(exchange);
        return;
    }
    start_call(exchange);
}

void caller_server::start_completion(const std::shared_ptr<net::http_exchange>& exchange)
{
    if (exchange->request().method() != boost::beast::http::verb::post)
    {
        throw request_error({problem_kind::no_such_route,
                             core::execution::not_run,
                             "completions are asked for with POST",
                             {}});
    }
    auto request = std::make_shared<completion_request>(
        parse_completion(exchange->take_request(), m_settings.m_completion));
    request->m_id = next_id();
    const auto session = std::make_shared<completion_session>(
        exchange, request, m_control, m_client, m_callers.context(), m_settings.m_session);
    ++m_sessions;
    m_metrics.count_request("completion");
    session->start([this] { --m_sessions; });
}

void caller_server::start_call(const std::shared_ptr<net::http_exchange>& exchange)
{
    auto request = std::make_shared<call_request>(parse_call(exchange->take_request()));
    request->m_id = next_id();
    const auto session = std::make_shared<call_session>(exchange, request, m_control, m_client,
                                                        m_settings.m_session);
    ++m_sessions;
    m_metrics.count_request("call");
    session->start([this] { --m_sessions; });
}

void caller_server::locate(const std::shared_ptr<net::http_exchange>& exchange)
{
    const std::string target(net::target_of(exchange->request()));
    const std::string workspace = net::query_value(target, "workspace");
    const membership::caller_locality place{
        optional_id<core::region_id>(net::query_value(target, "region")),
        optional_id<core::failure_domain_id>(net::query_value(target, "failure_domain"))};
    const bool taken = m_control.ask([this, exchange, workspace, place] {
        const auto id = core::id_of<core::workspace_id>(workspace);
        const std::size_t homes = m_plane.locate_homes(id);
        const auto answer = m_plane.membership().locate(id, homes, place);
        m_callers.post([exchange, answer] {
            exchange->respond(net::make_json_response(status_ok, locate_json(answer).dump()));
        });
    });
    if (!taken)
    {
        throw request_error({problem_kind::overloaded, core::execution::not_run,
                             "this instance has too much to do", std::chrono::milliseconds(1000)});
    }
}

void caller_server::list_models(const std::shared_ptr<net::http_exchange>& exchange)
{
    const bool taken = m_control.ask([this, exchange] {
        json models = json::array();
        if (const auto& bundle = m_plane.config().applied())
        {
            for (const config::model& each : bundle->m_models)
            {
                models.push_back({{"id", each.m_name}, {"object", "model"}});
            }
        }
        m_callers.post([exchange, models = std::move(models)] {
            const json body{{"object", "list"}, {"data", models}};
            exchange->respond(net::make_json_response(status_ok, body.dump()));
        });
    });
    if (!taken)
    {
        throw request_error({problem_kind::overloaded, core::execution::not_run,
                             "this instance has too much to do", std::chrono::milliseconds(1000)});
    }
}

} // namespace tarragontrail::entry
