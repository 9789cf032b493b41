#include "tarragontrail/entry/admin_server.hpp"

#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/setting_checks.hpp"
#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/entry/json_input.hpp"
#include "tarragontrail/entry/status_report.hpp"
#include "tarragontrail/observe/log.hpp"

#include <nlohmann/json.hpp>

namespace tarragontrail::entry {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr std::uint64_t bundle_limit_bytes = std::uint64_t{64} * 1024 * 1024;

constexpr std::chrono::milliseconds withdrawal_wait{5000};
constexpr std::chrono::milliseconds withdrawal_poll{100};

const char* name_of(config::withdrawal_propagation reach)
{
    switch (reach)
    {
    case config::withdrawal_propagation::pending:
        return "pending";
    case config::withdrawal_propagation::on_peers:
        return "peers";
    case config::withdrawal_propagation::in_table:
        return "in_table";
    }
    return "unknown";
}

const std::string drafts_prefix = "/admin/v1/drafts/";
const std::string quarantine_prefix = "/admin/v1/quarantines/";

net::http_response ok(const json& body)
{
    return net::make_json_response(status_ok, body.dump() + "\n");
}

[[noreturn]] void refuse(problem_kind kind, const std::string& detail)
{
    throw request_error({kind, core::execution::not_run, detail, {}});
}

std::uint64_t unsigned_member(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned())
    {
        refuse(problem_kind::malformed_request, std::string(name) + " is not a whole number");
    }
    return found->get<std::uint64_t>();
}

problem refusal_problem(config::approval_refusal refusal)
{
    problem told;
    told.m_detail = config::to_string(refusal);
    told.m_kind = problem_kind::conflict;
    if (refusal == config::approval_refusal::same_operator)
    {
        told.m_kind = problem_kind::forbidden;
    }
    if (refusal == config::approval_refusal::no_such_draft)
    {
        told.m_kind = problem_kind::no_such_route;
    }
    if (refusal == config::approval_refusal::not_executed)
    {
        told.m_kind = problem_kind::store_unavailable;
    }
    if (refusal == config::approval_refusal::outcome_unknown)
    {
        told.m_kind = problem_kind::store_unavailable;
        told.m_execution = core::execution::unknown;
    }
    return told;
}

net::http_server_settings server_settings(const net::http_server_settings& bounds)
{
    net::http_server_settings settings = bounds;
    settings.m_body_limit_bytes = bundle_limit_bytes;
    return settings;
}

problem bad_input(net::request_fault fault)
{
    if (fault == net::request_fault::no_memory)
    {
        return {problem_kind::overloaded, core::execution::not_run,
                "the memory for requests is used up", std::chrono::milliseconds(1000)};
    }
    return {problem_kind::malformed_request, core::execution::not_run, "not a usable request", {}};
}

} // namespace

operator_directory::operator_directory(const std::string& setting)
{
    std::string_view rest = setting;
    while (!rest.empty())
    {
        const std::size_t comma = rest.find(',');
        const std::string_view pair = rest.substr(0, comma);
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        const std::size_t equals = pair.find('=');
        config::sha256_digest digest{};
        if (equals == 0 || equals == std::string_view::npos ||
            !config::from_hex(pair.substr(equals + 1), digest))
        {
            throw config::setting_error("operators", pair, "must be name=sha256-of-token");
        }
        m_names[digest] = std::string(pair.substr(0, equals));
    }
}

std::string operator_directory::identify(const net::http_request& request) const
{
    const std::string token = key_of(request);
    if (token.empty())
    {
        return {};
    }
    const auto found = m_names.find(config::sha256(token));
    return found == m_names.end() ? std::string() : found->second;
}

admin_server::admin_server(net::duty& admin, control_port& control, control_plane& plane,
                           const caller_server& callers, operator_directory operators,
                           const net::http_server_settings& bounds)
    : m_admin(admin), m_control(control), m_plane(plane), m_callers(callers),
      m_operators(std::move(operators)),
      m_server(
          admin.context(), net::make_endpoint(plane.self().m_address, plane.self().m_ports.m_admin),
          server_settings(bounds),
          [this](const exchange_pointer& exchange) { on_request(exchange); },
          [](net::request_fault fault) { return problem_response(bad_input(fault)); })
{}

void admin_server::on_request(const exchange_pointer& exchange)
{
    try
    {
        route(exchange);
    }
    catch (const request_error& failure)
    {
        exchange->respond(problem_response(failure.told()));
    }
}

void admin_server::route(const exchange_pointer& exchange)
{
    const std::string path(net::path_of(net::target_of(exchange->request())));
    if (path == "/healthz")
    {
        exchange->respond(ok({{"status", "alive"}}));
        return;
    }
    if (path == "/readyz")
    {
        answer_ready(exchange);
        return;
    }
    const std::string name = m_operators.identify(exchange->request());
    if (name.empty())
    {
        refuse(problem_kind::forbidden, "an operator's token is needed");
    }
    if (exchange->request().method() != http::verb::get)
    {
        route_change(exchange, path, name);
        return;
    }
    if (path == "/admin/v1/status")
    {
        answer_status(exchange);
        return;
    }
    if (path == "/admin/v1/bundle")
    {
        answer_bundle(exchange);
        return;
    }
    if (path == "/admin/v1/head")
    {
        run(exchange,
            [this](core::time_point now) { return m_plane.config().approvals().status("", now); });
        return;
    }
    if (path.starts_with(drafts_prefix))
    {
        run(exchange, [this, draft = path.substr(drafts_prefix.size())](core::time_point now) {
            return m_plane.config().approvals().status(draft, now);
        });
        return;
    }
    refuse(problem_kind::no_such_route, "nothing is served at this path");
}

void admin_server::route_change(const exchange_pointer& exchange, const std::string& path,
                                const std::string& name)
{
    const http::verb method = exchange->request().method();
    observe::log("operator_command", {{"operator", name}, {"path", path}});
    if (path == "/admin/v1/bundles/check")
    {
        check_bundle(exchange);
        return;
    }
    if (path == "/admin/v1/drafts")
    {
        submit_bundle(exchange, name);
        return;
    }
    if (path == "/admin/v1/rollout/advance")
    {
        advance_rollout(exchange);
        return;
    }
    if (path == "/admin/v1/keys/withdraw")
    {
        withdraw_key(exchange, name);
        return;
    }
    if (path.starts_with(quarantine_prefix) && method == http::verb::delete_)
    {
        clear_quarantine(exchange, path.substr(quarantine_prefix.size()));
        return;
    }
    const std::size_t slash = path.rfind('/');
    if (path.starts_with(drafts_prefix) && slash > drafts_prefix.size())
    {
        const std::string draft = path.substr(drafts_prefix.size(), slash - drafts_prefix.size());
        move_draft(exchange, draft, path.substr(slash + 1), name);
        return;
    }
    refuse(problem_kind::no_such_route, "nothing is served at this path");
}

void admin_server::answer_ready(const exchange_pointer& exchange)
{
    ask(exchange, [this] {
        const bool ready = m_plane.config().state() == config::agent_state::ready &&
                           m_plane.limits().ready() && !m_draining;
        const json body{{"ready", ready}, {"draining", m_draining.load()}};
        return net::make_json_response(ready ? status_ok : status_unavailable, body.dump() + "\n");
    });
}

void admin_server::answer_status(const exchange_pointer& exchange)
{
    ask(exchange, [this] { return ok(status_report(m_plane, m_callers.sessions())); });
}

void admin_server::answer_bundle(const exchange_pointer& exchange)
{
    ask(exchange, [this] {
        const auto& applied = m_plane.config().applied();
        if (!applied)
        {
            return problem_response({problem_kind::not_ready,
                                     core::execution::not_run,
                                     "no configuration is in force here yet",
                                     {}});
        }
        return net::make_json_response(status_ok, config::serialize(*applied));
    });
}

void admin_server::check_bundle(const exchange_pointer& exchange)
{
    parse_json_object(exchange->request().body());
    try
    {
        const config::bundle parsed = config::parse_bundle(exchange->request().body());
        exchange->respond(ok({{"valid", true},
                              {"version", parsed.m_version},
                              {"workspaces", parsed.m_workspaces.size()},
                              {"upstreams", parsed.m_upstreams.size()}}));
    }
    catch (const config::bundle_error& failure)
    {
        refuse(problem_kind::malformed_request, failure.what());
    }
}

void admin_server::submit_bundle(const exchange_pointer& exchange, const std::string& name)
{
    const std::string text = exchange->request().body();
    parse_json_object(text);
    run(exchange, [this, text, name](core::time_point now) {
        return m_plane.config().approvals().submit(name, text, m_plane.config().applied(), now);
    });
}

void admin_server::move_draft(const exchange_pointer& exchange, const std::string& draft,
                              const std::string& step, const std::string& name)
{
    run(exchange, [this, draft, step, name](core::time_point now) {
        config::approval_workflow& approvals = m_plane.config().approvals();
        if (step == "review")
        {
            return approvals.review(draft, name, now);
        }
        if (step == "sign_off")
        {
            return approvals.sign_off(draft, name, now);
        }
        if (step == "roll")
        {
            return approvals.start_rollout(draft, m_plane.config().applied(), now);
        }
        refuse(problem_kind::no_such_route, "a draft is moved by review, sign_off or roll");
    });
}

void admin_server::advance_rollout(const exchange_pointer& exchange)
{
    const json body = parse_json_object(exchange->request().body());
    const std::uint64_t version = unsigned_member(body, "version");
    const std::uint64_t step = unsigned_member(body, "from_step");
    run(exchange, [this, version, step](core::time_point now) {
        return m_plane.config().approvals().advance_rollout(version, step, now);
    });
}

void admin_server::withdraw_key(const exchange_pointer& exchange, const std::string& name)
{
    const json body = parse_json_object(exchange->request().body());
    config::sha256_digest digest{};
    if (!body.contains("digest") || !body["digest"].is_string() ||
        !config::from_hex(body["digest"].get<std::string>(), digest))
    {
        refuse(problem_kind::malformed_request,
               "digest is not the SHA-256 of a key in hexadecimal");
    }
    observe::log("key_withdrawn",
                 {{"operator", name}, {"digest", body["digest"].get<std::string>().substr(0, 16)}});
    const bool taken = m_control.ask([this, exchange, digest] {
        m_plane.config().withdraw(config::prefix_of(digest), core::runtime_clock::now());
        m_plane.pump();
        report_withdrawal(exchange, core::runtime_clock::now() + withdrawal_wait);
    });
    if (!taken)
    {
        refuse(problem_kind::overloaded, "this instance has too much to do");
    }
}

void admin_server::report_withdrawal(const exchange_pointer& exchange, core::time_point give_up)
{
    // In force here at once; the operator is told how far it has come beyond.
    const config::withdrawal_propagation reach = m_plane.config().reach();
    if (reach != config::withdrawal_propagation::pending || core::runtime_clock::now() >= give_up)
    {
        respond(exchange, ok({{"withdrawn", true}, {"reach", name_of(reach)}}));
        return;
    }
    const auto again = std::make_shared<net::timer>(m_control.context());
    again->run_after(withdrawal_poll,
                     [this, exchange, give_up, again] { report_withdrawal(exchange, give_up); });
}

void admin_server::clear_quarantine(const exchange_pointer& exchange,
                                    const std::string& fingerprint)
{
    const auto number = core::parse_number(fingerprint);
    if (!number)
    {
        refuse(problem_kind::malformed_request, "a fingerprint is a whole number");
    }
    ask(exchange, [this, number = *number] {
        const bool cleared =
            m_plane.recovery().crash_attribution().clear(number, core::runtime_clock::now());
        m_plane.pump();
        return ok({{"cleared", cleared}});
    });
}

void admin_server::run(const exchange_pointer& exchange,
                       const std::function<config::command_id(core::time_point)>& command)
{
    const bool taken = m_control.ask([this, exchange, command] {
        try
        {
            const config::command_id id = command(core::runtime_clock::now());
            m_plane.config().await(id, [this, exchange](const command_outcome& outcome) {
                respond(exchange, outcome.m_refusal
                                      ? problem_response(refusal_problem(*outcome.m_refusal))
                                      : ok(command_report(outcome)));
            });
        }
        catch (const config::bundle_error& failure)
        {
            respond(exchange, problem_response({problem_kind::malformed_request,
                                                core::execution::not_run,
                                                failure.what(),
                                                {}}));
        }
        catch (const request_error& failure)
        {
            respond(exchange, problem_response(failure.told()));
        }
        m_plane.pump();
    });
    if (!taken)
    {
        refuse(problem_kind::overloaded, "this instance has too much to do");
    }
}

void admin_server::ask(const exchange_pointer& exchange,
                       const std::function<net::http_response()>& work)
{
    if (!m_control.ask([this, exchange, work] { respond(exchange, work()); }))
    {
        refuse(problem_kind::overloaded, "this instance has too much to do");
    }
}

void admin_server::respond(const exchange_pointer& exchange, net::http_response response)
{
    m_admin.post([exchange, response = std::move(response)] { exchange->respond(response); });
}

} // namespace tarragontrail::entry
