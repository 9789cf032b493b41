#include "tarragontrail/entry/status_report.hpp"

#include <nlohmann/json.hpp>

namespace tarragontrail::entry {
namespace {

using nlohmann::json;

const char* name_of(config::agent_state state)
{
    switch (state)
    {
    case config::agent_state::not_ready:
        return "not_ready";
    case config::agent_state::provisional:
        return "provisional";
    case config::agent_state::ready:
        return "ready";
    }
    return "unknown";
}

const char* name_of(config::freshness_state state)
{
    switch (state)
    {
    case config::freshness_state::table_confirmed:
        return "store_heard";
    case config::freshness_state::peers_confirmed:
        return "peers_agree";
    case config::freshness_state::stale:
        return "too_old";
    }
    return "unknown";
}

const char* name_of(config::draft_state state)
{
    switch (state)
    {
    case config::draft_state::submitted:
        return "submitted";
    case config::draft_state::reviewed:
        return "reviewed";
    case config::draft_state::signed_off:
        return "signed_off";
    case config::draft_state::rolled:
        return "rolled";
    }
    return "unknown";
}

json members_report(control_plane& plane)
{
    json members = json::array();
    for (const membership::member& each : plane.membership().current().members())
    {
        const bool self = each.m_id == plane.self().m_id;
        members.push_back(
            {{"name", each.m_name},
             {"region", each.m_region},
             {"failure_domain", each.m_failure_domain},
             {"state",
              self ? "self" : membership::to_string(plane.membership().state_of(each.m_id))},
             {"draining", each.m_state == membership::member_state::draining}});
    }
    return members;
}

json engines_report(control_plane& plane)
{
    json engines = json::array();
    for (const auto& [id, engine] : plane.routing().engines().all())
    {
        engines.push_back({{"name", engine.m_name},
                           {"model", engine.m_model_name},
                           {"weights_version", engine.m_status.m_weights_version},
                           {"configured_ready", engine.m_configured_ready},
                           {"reachable", engine.m_reachable},
                           {"draining", engine.m_status.m_draining},
                           {"watched_here", plane.routing().watchers().contains(id)},
                           {"in_flight", plane.routing().router().in_flight_requests(id)}});
    }
    return engines;
}

json quarantines_report(control_plane& plane)
{
    json quarantines = json::array();
    const core::time_point now = core::runtime_clock::now();
    for (const recovery::quarantine_entry& each : plane.recovery().crash_attribution().list(now))
    {
        const auto left = std::chrono::duration_cast<std::chrono::seconds>(each.m_until - now);
        quarantines.push_back({{"fingerprint", each.m_fingerprint},
                               {"crashes", each.m_crashes},
                               {"seconds_left", left.count()}});
    }
    return quarantines;
}

} // namespace

json status_report(control_plane& plane, std::size_t sessions)
{
    const core::time_point now = core::runtime_clock::now();
    const auto& applied = plane.config().applied();
    const limits::admission_counts& admission = plane.limits().admission().counts();
    return {{"name", plane.self().m_name},
            {"view", core::value_of(plane.membership().current().number())},
            {"members", members_report(plane)},
            {"bundle_version", applied ? applied->m_version : 0},
            {"bundle_state", name_of(plane.config().state())},
            {"keys", name_of(plane.config().freshness_now(now))},
            {"limits_divided", plane.limits().ready()},
            {"admitted", admission.m_admitted},
            {"refused", admission.m_refused},
            {"loans_asked", admission.m_loan_requests_sent},
            {"engines", engines_report(plane)},
            {"quarantines", quarantines_report(plane)},
            {"active", plane.active()},
            {"sessions", sessions}};
}

json command_report(const command_outcome& outcome)
{
    json report = json::object();
    if (outcome.m_draft)
    {
        report["draft"] = {
            {"name", outcome.m_draft->m_name},     {"state", name_of(outcome.m_draft->m_state)},
            {"author", outcome.m_draft->m_author}, {"reviewer", outcome.m_draft->m_reviewer},
            {"signer", outcome.m_draft->m_signer}, {"version", outcome.m_draft->m_ref.m_version}};
    }
    if (outcome.m_head)
    {
        report["head"] = {{"version", outcome.m_head->m_current.m_version},
                          {"previous", outcome.m_head->m_previous.m_version},
                          {"step", outcome.m_head->m_step},
                          {"steps", outcome.m_head->m_steps.size()},
                          {"everywhere", outcome.m_head->is_rollout_complete()},
                          {"withdrawals", outcome.m_head->m_withdrawals.size()}};
    }
    return report;
}

} // namespace tarragontrail::entry
