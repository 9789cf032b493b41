// Part of completion_flow that deals with failed attempts: whose fault it was, and what follows.
#include "tarragontrail/entry/completion_flow.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/wire/json_document.hpp"

namespace tarragontrail::entry {
namespace {

constexpr unsigned status_ok = 200;

net::call_settings probe_call()
{
    net::call_settings settings;
    settings.m_connect_timeout = std::chrono::milliseconds(300);
    settings.m_first_byte_timeout = std::chrono::milliseconds(700);
    settings.m_idle_timeout = std::chrono::milliseconds(700);
    settings.m_fresh_connection = true;
    return settings;
}

connection_outcome outcome_of(const net::call_failure& failure)
{
    if (failure.m_stage == net::call_stage::connecting)
    {
        return connection_outcome::not_made;
    }
    return failure.m_reused_connection ? connection_outcome::lost_reused
                                       : connection_outcome::lost_fresh;
}

} // namespace

void completion_flow::on_attempt_failed(core::request_id id, const attempt_failure& failure,
                                        core::time_point now)
{
    running* each = find(id);
    if (each == nullptr || each->m_stage != stage::dispatched ||
        each->m_attempt != failure.m_attempt)
    {
        return;
    }
    each->m_failure = failure;
    m_recovery->on_attempt(each->m_engine, outcome_of(failure.m_failure), now);
    observe::log("attempt_failed", {{"request", core::value_of(id)},
                                    {"attempt", failure.m_attempt},
                                    {"engine", core::value_of(each->m_engine)},
                                    {"fault", net::to_string(failure.m_failure.m_fault)},
                                    {"delivered", failure.m_delivered}});
    // The connection is suspected before the engine: a new connection tells them apart.
    if (failure.m_failure.m_stage == net::call_stage::connecting)
    {
        m_recovery->crash_attribution().on_finished(each->m_fingerprint, each->m_engine, false,
                                                    now);
        decide_retry(id, *each, now);
    }
    else
    {
        each->m_stage = stage::probing;
        probe_engine(id, *each);
    }
    m_context.m_pump();
}

void completion_flow::probe_engine(core::request_id id, running& each)
{
    const engine_info* engine = m_routing->engines().find(each.m_engine);
    if (engine == nullptr)
    {
        on_probed(id, core::incarnation{}, core::runtime_clock::now());
        return;
    }
    m_client.fetch(
        engine->m_endpoint, net::make_request(boost::beast::http::verb::get, "/load"), probe_call(),
        [this, id](const net::http_client::fetch_result& result) {
            const core::time_point now = core::runtime_clock::now();
            core::incarnation found{};
            try
            {
                if (result.m_ok && result.m_response.result_int() == status_ok)
                {
                    found = parse_engine_report(result.m_response.body(), now).m_load.m_incarnation;
                }
            }
            catch (const wire::json_error&)
            {
                found = core::incarnation{};
            }
            on_probed(id, found, now);
            m_context.m_pump();
        });
}

void completion_flow::on_probed(core::request_id id, core::incarnation found, core::time_point now)
{
    running* each = find(id);
    if (each == nullptr || each->m_stage != stage::probing)
    {
        return;
    }
    const bool same = found != core::incarnation{} && found == each->m_incarnation;
    if (!same)
    {
        // Requests still in flight there are blamed with this one; the core merges reports.
        m_recovery->crash_attribution().on_engine_crashed(each->m_engine, each->m_incarnation, now);
        if (found > each->m_incarnation)
        {
            m_routing->router().on_engine_incarnation(each->m_engine, found, now);
        }
    }
    m_recovery->crash_attribution().on_finished(each->m_fingerprint, each->m_engine, false, now);
    decide_retry(id, *each, now);
}

void completion_flow::decide_retry(core::request_id id, running& each, core::time_point now)
{
    const bool not_run = each.m_failure.m_failure.m_stage == net::call_stage::connecting;
    const core::execution execution = not_run ? core::execution::not_run : core::execution::unknown;
    leave_engine(id, each, each.m_failure.m_delivered, now);
    if (not_run && each.m_attempt == 1)
    {
        each.m_execution = core::execution::not_run;
    }
    const recovery::retry_decision decision =
        m_recovery->budget().decide({each.m_attempt, true, execution, each.m_deadline, {}}, now);
    if (const auto* retry = std::get_if<recovery::retry>(&decision))
    {
        m_context.m_metrics.count_retry(each.m_failure.m_delivered > 0 ? "resume" : "retry");
        each.m_excluded.push_back(each.m_engine);
        ++each.m_attempt;
        pause(id, each, now + retry->m_after);
        return;
    }
    const bool begun = each.m_failure.m_delivered > 0;
    refuse(id,
           {begun ? problem_kind::stream_broken : problem_kind::upstream_failed, each.m_execution,
            begun ? "the stream broke; resume it with Last-Event-ID"
                  : "the engine failed and no retry is left",
            std::chrono::milliseconds(1000)});
}

void completion_flow::on_engine_restarted(core::upstream_id engine, core::incarnation before)
{
    observe::log("engine_restarted",
                 {{"engine", core::value_of(engine)}, {"before", core::value_of(before)}});
    m_recovery->crash_attribution().on_engine_crashed(engine, before, core::runtime_clock::now());
}

} // namespace tarragontrail::entry
