#include "tarragontrail/load/load_run.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::load {

using nlohmann::json;

namespace {

constexpr std::size_t idle_connections = 256;

} // namespace

load_run::load_run(boost::asio::io_context& context, const config::load_settings& settings)
    : m_context(context), m_settings(settings), m_workspaces(read_workspaces(settings)),
      m_regions(split(settings.m_regions, ',')), m_plan(make_plan_settings()),
      m_client(context, idle_connections),
      m_finder(m_client, parse_endpoints("entries", settings.m_entries)),
      m_call_context{context,
                     m_client,
                     m_finder,
                     settings.m_model,
                     settings.m_service_path,
                     m_plan.settings().m_max_tokens,
                     settings.m_retries},
      m_report(workspace_names()), m_send_timer(context), m_progress_timer(context)
{
    parse_endpoints("engine_stats", settings.m_engine_stats);
    parse_endpoints("service_stats", settings.m_service_stats);
    if (m_regions.empty())
    {
        throw config::setting_error("regions", settings.m_regions, "names no region");
    }
}

void load_run::start()
{
    observe::log("load_start", {{"requests", m_plan.requests().size()},
                                {"workspaces", m_workspaces.size()},
                                {"seed", m_settings.m_seed}});
    read_engines([this](const engine_totals& totals) {
        m_engines_before = totals;
        m_started = core::runtime_clock::now();
        show_progress();
        send_due();
    });
}

void load_run::stop()
{
    m_next = m_plan.requests().size();
    finish();
}

plan_settings load_run::make_plan_settings() const
{
    plan_settings plan = deployment_preset(m_settings.m_deployment);
    plan.m_seed = m_settings.m_seed;
    plan.m_duration = m_settings.m_duration;
    plan.m_rate_per_s = m_settings.m_rate;
    plan.m_workspaces = m_workspaces.size();
    plan.m_bundles = m_settings.m_bundles;
    plan.m_service_fraction = m_settings.m_service_fraction;
    plan.m_shift_interval = m_settings.m_shift_interval;
    plan.m_excess_factor = m_settings.m_excess_factor;
    plan.m_callers = m_settings.m_callers > 0 ? m_settings.m_callers : plan.m_callers;
    plan.m_bundle_pieces =
        m_settings.m_bundle_pieces > 0 ? m_settings.m_bundle_pieces : plan.m_bundle_pieces;
    const std::vector<std::string> names = workspace_names();
    const auto excess = std::find(names.begin(), names.end(), m_settings.m_excess_workspace);
    if (excess != names.end())
    {
        plan.m_excess_workspace = static_cast<std::size_t>(excess - names.begin());
    }
    else if (m_settings.m_excess_workspace != none)
    {
        throw config::setting_error("excess_workspace", m_settings.m_excess_workspace,
                                    "has no key");
    }
    return plan;
}

std::vector<std::string> load_run::workspace_names() const
{
    std::vector<std::string> names;
    for (const load_workspace& each : m_workspaces)
    {
        names.push_back(each.m_name);
    }
    return names;
}

void load_run::read_engines(const totals_handler& on_totals)
{
    const auto totals = std::make_shared<engine_totals>();
    read_each(
        m_settings.m_engine_stats,
        [totals](const json& stats) {
            totals->m_prompt_tokens += stats.value("prompt_tokens", std::uint64_t{0});
            totals->m_computed_tokens += stats.value("computed_tokens", std::uint64_t{0});
            totals->m_recomputed_tokens += stats.value("recomputed_tokens", std::uint64_t{0});
            totals->m_keys_seen += stats.value("keys_seen", std::uint64_t{0});
        },
        [totals, on_totals] { on_totals(*totals); });
}

void load_run::read_services(const std::function<void()>& on_read)
{
    const auto most = std::make_shared<std::uint64_t>(0);
    read_each(
        m_settings.m_service_stats,
        [most](const json& stats) {
            *most = std::max(*most, stats.value("max_per_key", std::uint64_t{0}));
        },
        [this, most, on_read] {
            if (m_settings.m_service_stats != none)
            {
                m_report.set_executions_per_key(*most);
            }
            on_read();
        });
}

void load_run::read_each(const std::string& addresses,
                         const std::function<void(const json&)>& on_stats,
                         const std::function<void()>& on_all)
{
    const std::vector<net::tcp::endpoint> endpoints = parse_endpoints("engine_stats", addresses);
    if (endpoints.empty())
    {
        on_all();
        return;
    }
    const auto waiting = std::make_shared<std::size_t>(endpoints.size());
    for (const net::tcp::endpoint& endpoint : endpoints)
    {
        m_client.fetch(endpoint, net::make_request(boost::beast::http::verb::get, "/stats"), {},
                       [=](const net::http_client::fetch_result& result) {
                           const json stats = json::parse(result.m_response.body(), nullptr, false);
                           if (result.m_ok && stats.is_object())
                           {
                               on_stats(stats);
                           }
                           if (--*waiting == 0)
                           {
                               on_all();
                           }
                       });
    }
}

void load_run::send_due()
{
    const auto& requests = m_plan.requests();
    while (m_next < requests.size() &&
           m_started + requests[m_next].m_at <= core::runtime_clock::now())
    {
        send(requests[m_next++]);
    }
    const bool all_sent = m_next == requests.size();
    const core::time_point next = all_sent ? core::runtime_clock::now() + m_settings.m_drain_timeout
                                           : m_started + requests[m_next].m_at;
    m_send_timer.run_at(next, [this, all_sent] {
        if (m_finishing)
        {
            return;
        }
        if (all_sent)
        {
            finish();
            return;
        }
        send_due();
    });
    if (all_sent && m_active == 0)
    {
        finish();
    }
}

void load_run::send(const planned_request& request)
{
    load_workspace& owner = m_workspaces[request.m_workspace];
    call_order order;
    order.m_request = request;
    order.m_site = {request.m_caller, owner.m_name, m_regions[request.m_caller % m_regions.size()]};
    order.m_key = owner.m_key;
    order.m_allowance = owner.m_allowance ? &*owner.m_allowance : nullptr;
    if (request.m_service)
    {
        order.m_allowance = nullptr;
        order.m_idempotency_key =
            fmt::format("{}-{}-{}", owner.m_name, m_settings.m_seed, request.m_number);
    }
    else
    {
        order.m_messages = m_plan.messages_of(request);
    }
    ++m_active;
    std::make_shared<load_call>(m_call_context, std::move(order), [this](const load_call& call) {
        on_ended(call);
    })->start();
}

void load_run::on_ended(const load_call& call)
{
    if (m_finishing)
    {
        return;
    }
    --m_active;
    request_outcome outcome = call.outcome();
    const bool computed = !outcome.m_service && !outcome.m_refused;
    outcome.m_distinct_tokens = computed ? count_distinct(call) : 0;
    m_report.add(outcome);
    if (!outcome.m_ok)
    {
        observe::log("request_failed", {{"workspace", call.order().m_site.m_workspace},
                                        {"number", call.order().m_request.m_number},
                                        {"kind", outcome.m_failure}});
    }
    if (m_active == 0 && m_next == m_plan.requests().size())
    {
        finish();
    }
}

std::uint64_t load_run::count_distinct(const load_call& call)
{
    const auto blocks = hash_blocks(call.prompt(), call.outcome().m_workspace);
    std::uint64_t tokens = count_tokens(call.prompt()) - blocks.size() * block_tokens;
    for (const std::uint64_t block : blocks)
    {
        tokens += m_known_blocks.insert(block).second ? block_tokens : 0;
    }
    return tokens;
}

void load_run::show_progress()
{
    observe::log("progress", {{"sent", m_next},
                              {"planned", m_plan.requests().size()},
                              {"active", m_active},
                              {"ended", m_report.ended()}});
    m_progress_timer.run_after(progress_interval, [this] { show_progress(); });
}

void load_run::finish()
{
    if (m_finishing)
    {
        return;
    }
    m_finishing = true;
    m_report.set_unanswered(m_active);
    const core::duration length = core::runtime_clock::now() - m_started;
    for (std::size_t i = 0; i < m_workspaces.size(); ++i)
    {
        if (m_workspaces[i].m_allowance)
        {
            m_report.set_entitlement(i, m_workspaces[i].m_allowance->entitlement(length));
        }
    }
    read_engines([this](const engine_totals& totals) {
        if (m_settings.m_engine_stats != none)
        {
            m_report.set_engines(m_engines_before, totals);
        }
        read_services([this] { m_context.stop(); });
    });
}

} // namespace tarragontrail::load
