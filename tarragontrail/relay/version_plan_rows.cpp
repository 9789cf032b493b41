#include "tarragontrail/relay/version_plan_rows.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

std::string key_of(const std::string& service)
{
    return std::string(version_plan_rows::key_prefix) + service;
}

version_plan plan_of(const wire::version_plan_entry& entry)
{
    std::vector<version_plan::assignment> assignments;
    for (const wire::version_assignment& each : entry.m_assignments)
    {
        assignments.push_back({each.m_slot, {each.m_version}, each.m_since});
    }
    return {entry.m_number, assignments};
}

wire::version_plan_entry entry_of(const std::string& service, const version_plan& plan)
{
    wire::version_plan_entry entry{service, plan.number(), {}};
    for (const version_plan::assignment& each : plan.assignments())
    {
        entry.m_assignments.push_back({each.m_slot, each.m_version.m_name, each.m_since});
    }
    return entry;
}

/// Shares of a plan for logs: version and slots.
std::string shares_text(const version_plan& plan)
{
    std::string text;
    for (const auto& [version, slots] : plan.shares())
    {
        text += (text.empty() ? "" : ",") + version.m_name + ":" + std::to_string(slots);
    }
    return text;
}

} // namespace

version_plan_rows::version_plan_rows(relay_state& state, table_store& store,
                                     std::function<void(const table_row&)> on_written)
    : m_state(state), m_store(store), m_on_written(std::move(on_written))
{}

void version_plan_rows::on_row(const wire::version_plan_entry& entry,
                               const core::store_version& version, core::time_point now)
{
    const version_plan plan = plan_of(entry);
    m_stored[entry.m_service] = plan.number();
    const version_plan* known = m_state.m_stream_versions.plan_of(entry.m_service);
    const auto store_now = m_state.m_stream_versions.store_time_at(now);
    // A write whose answer was lost may be done seconds later: until then streams began as before.
    const bool is_late = known != nullptr && plan.number() > known->number() && store_now &&
                         plan.last_change() + m_settings.m_late_write < *store_now;
    // Those streams are in doubt from now on, not only once the plan is written with a new time.
    const version_plan counted = is_late ? plan.moved_to(*store_now) : plan;
    if (!m_state.m_stream_versions.set_plan(entry.m_service, counted, now))
    {
        return;
    }
    if (is_late)
    {
        m_written_late.insert(entry.m_service);
    }
    else
    {
        m_written_late.erase(entry.m_service);
    }
    observe::log("version_plan", {{"service", entry.m_service},
                                  {"number", plan.number()},
                                  {"era", version.m_era},
                                  {"row", version.m_number},
                                  {"slots", shares_text(plan)},
                                  {"late", is_late}});
}

/// Finds the services whose streams may be resumed in the configuration in force.
void version_plan_rows::update_services()
{
    if (m_seen_routes == m_state.m_routes)
    {
        return;
    }
    m_seen_routes = m_state.m_routes;
    m_services.clear();
    for (const route& each : m_seen_routes->config().m_routes)
    {
        if (!each.is_resumable_stream())
        {
            continue;
        }
        for (const route_target& target : each.m_targets)
        {
            m_services.insert(target.m_service);
        }
    }
}

void version_plan_rows::check(bool is_planner, const table_mirror& fleet, core::time_point now)
{
    update_services();
    if (!fleet.is_complete())
    {
        return;
    }
    for (const std::string& service : m_services)
    {
        check_service(service, is_planner, fleet, now);
    }
}

void version_plan_rows::check_service(const std::string& service, bool is_planner,
                                      const table_mirror& fleet, core::time_point now)
{
    const auto store_now = m_state.m_stream_versions.store_time_at(now);
    if (m_writing.contains(service) || !store_now)
    {
        return;
    }
    const version_plan* known = m_state.m_stream_versions.plan_of(service);
    const version_plan current = known == nullptr ? version_plan{} : *known;
    std::optional<version_plan> next =
        current.adapted(capacities_of(service, now), *store_now, m_settings.m_plan);
    if (!next && m_written_late.contains(service))
    {
        next = current.dated(*store_now);
    }
    if (!next && known != nullptr &&
        (fleet.find(key_of(service)) == nullptr || m_stored[service] < known->number()))
    {
        // The table store has come back from a copy that lacks the plan.
        next = current;
    }
    if (!next)
    {
        m_due_since.erase(service);
        return;
    }
    const auto due = m_due_since.try_emplace(service, now).first;
    if (is_planner || now - due->second >= m_settings.m_takeover_delay)
    {
        m_due_since.erase(due);
        write(service, *next, fleet);
    }
}

/// Requests at a time that upstreams of each version can take. Those that fail count only where no
/// version has others.
std::map<software_version, std::uint64_t>
version_plan_rows::capacities_of(const std::string& service, core::time_point now) const
{
    std::map<software_version, std::uint64_t> sound;
    std::map<software_version, std::uint64_t> all;
    for (const auto& each : m_state.m_upstreams.of_service(service))
    {
        if (each->m_leaving_since)
        {
            continue;
        }
        const std::uint64_t slots = std::max<std::uint64_t>(each->m_record.m_slots, 1);
        all[each->m_record.m_software] += slots;
        if (each->m_health.allows(now))
        {
            sound[each->m_record.m_software] += slots;
        }
    }
    return sound.empty() ? all : sound;
}

void version_plan_rows::write(const std::string& service, const version_plan& plan,
                              const table_mirror& fleet)
{
    const std::string key = key_of(service);
    const table_row* row = fleet.find(key);
    const core::store_version expected =
        row == nullptr ? core::store_version{fleet.era(), 0} : row->m_version;
    const std::string value = wire::encode(entry_of(service, plan));
    m_writing.insert(service);
    m_store.write(
        key, value, expected,
        [this, service, key, value, number = plan.number()](const row_write_result& written) {
            m_writing.erase(service);
            const bool is_applied = written.m_outcome == row_write_result::outcome::applied;
            observe::log("version_plan_written",
                         {{"service", service}, {"number", number}, {"applied", is_applied}});
            if (is_applied)
            {
                m_on_written(table_row{key, value, written.m_version, false});
            }
        });
}

} // namespace tarragontrail::relay
