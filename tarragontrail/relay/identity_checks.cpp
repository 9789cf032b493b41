#include "tarragontrail/relay/identity_checks.hpp"

#include "tarragontrail/observe/log.hpp"

namespace tarragontrail::relay {

identity_checks::identity_checks(relay_state& state, engine_control& engines,
                                 identity_checks_settings settings)
    : m_settings(settings), m_state(state), m_engines(engines)
{}

void identity_checks::check(const std::string& service, core::time_point now)
{
    for (const auto& each : m_state.m_upstreams.of_service(service))
    {
        const upstream_record& record = each->m_record;
        if (!each->m_doubted_since)
        {
            m_asked.erase(record.m_id);
            continue;
        }
        const auto asked = m_asked.find(record.m_id);
        if (asked != m_asked.end() && now - asked->second < m_settings.m_interval)
        {
            continue;
        }
        m_asked[record.m_id] = now;
        const std::string model = record.m_models.empty() ? "" : record.m_models.front().m_model;
        m_engines.read_report(record, model,
                              [this, identity = record.identity(),
                               since = now](const std::optional<placement::engine_report>& report) {
                                  on_report(identity, since, report);
                              });
    }
}

void identity_checks::on_report(const upstream_identity& asked, core::time_point since,
                                const std::optional<placement::engine_report>& report)
{
    const auto known = m_state.m_upstreams.find(asked.m_id);
    // What made it doubtful after the question may have come after the answer.
    if (!known || !report || known->m_record.identity() != asked || !known->m_doubted_since ||
        *known->m_doubted_since > since)
    {
        return;
    }
    const bool is_confirmed =
        report->m_started
            ? *report->m_started == asked.m_started
            : core::runtime_clock::now() - *known->m_doubted_since >= m_settings.m_untold_limit;
    observe::log("identity_checked", {{"upstream", known->m_record.m_name},
                                      {"software", asked.m_software.m_name},
                                      {"tells_start", report->m_started.has_value()},
                                      {"confirmed", is_confirmed}});
    if (is_confirmed)
    {
        known->m_doubted_since.reset();
    }
}

} // namespace tarragontrail::relay
