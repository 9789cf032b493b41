#include "tarragontrail/relay/version_plan_rows.hpp"

#include "tarragontrail/core/parse_number.hpp"
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

/// Era in which a plan was written and time from which on it shows all plans; stored as the
/// assignment of a slot that does not exist, which readers pass over.
struct era_mark
{
    std::uint64_t m_era = 0;
    store_time m_whole_since{};
};

constexpr std::string_view era_prefix = "era/";

std::optional<era_mark> mark_of(const wire::version_plan_entry& entry)
{
    for (const wire::version_assignment& each : entry.m_assignments)
    {
        if (each.m_slot != version_plan::slot_count || !each.m_version.starts_with(era_prefix))
        {
            continue;
        }
        if (const auto era = core::parse_number(each.m_version.substr(era_prefix.size())))
        {
            return era_mark{*era, each.m_since};
        }
    }
    return std::nullopt;
}

wire::version_plan_entry entry_of(const std::string& service, const version_plan& plan,
                                  const std::optional<era_mark>& mark)
{
    wire::version_plan_entry entry{service, plan.number(), {}};
    for (const version_plan::assignment& each : plan.assignments())
    {
        entry.m_assignments.push_back({each.m_slot, each.m_version.m_name, each.m_since});
    }
    if (mark)
    {
        entry.m_assignments.push_back({version_plan::slot_count,
                                       std::string(era_prefix) + std::to_string(mark->m_era),
                                       mark->m_whole_since});
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
    : m_state(state), m_store(store), m_on_written(std::move(on_written)),
      m_rewrite_delay(core::scaled(m_settings.m_rewrite_spread, state.m_random.unit()))
{}

void version_plan_rows::on_row(const wire::version_plan_entry& entry,
                               const core::store_version& version, core::time_point now)
{
    read_row& row = m_read[entry.m_service];
    if (version <= row.m_version)
    {
        return;
    }
    const auto mark = mark_of(entry);
    const version_plan* known = m_state.m_stream_versions.plan_of(entry.m_service);
    const bool is_return = known != nullptr && version.m_era > row.m_version.m_era;
    row.m_version = version;
    row.m_is_of_era = mark ? mark->m_era == version.m_era : version.m_era <= core::first_era;
    row.m_plan = plan_of(entry);
    if (mark)
    {
        row.m_plan = row.m_plan.whole_from(mark->m_whole_since);
    }
    if (known == nullptr)
    {
        row.m_is_lacking = false;
        // Plans of an ended era may have been followed by others that are lost.
        if (row.m_is_of_era)
        {
            take(entry.m_service, row.m_plan, row, false, now);
        }
        return;
    }
    const store_time store_now =
        m_state.m_stream_versions.store_time_at(now).value_or(row.m_plan.last_change());
    row.m_is_lacking = !row.m_plan.shows(*known, store_now - m_settings.m_plan.m_history / 2);
    // A write whose answer was lost may be done seconds later: until then streams began as before.
    const bool is_late = row.m_plan.number() > known->number() &&
                         row.m_plan.last_change() + m_settings.m_late_write < store_now;
    // An instance that was behind before the return does not know what was lost by it.
    const bool is_informed = m_state.m_stream_versions.is_informed(entry.m_service, now);
    take(entry.m_service, plan_after(row, *known, is_return, is_informed, is_late, store_now), row,
         is_late, now);
}

void version_plan_rows::begin_era(const table_mirror& fleet, core::time_point now)
{
    stream_versions& versions = m_state.m_stream_versions;
    const auto store_now = versions.store_time_at(now);
    for (const std::string& service : m_services)
    {
        const version_plan* known = versions.plan_of(service);
        const bool is_lost = known != nullptr && fleet.find(key_of(service)) == nullptr;
        if (!is_lost || versions.is_informed(service, now) || !store_now)
        {
            continue;
        }
        // It may lack plans that were lost with the row.
        versions.set_plan(service, known->whole_from(*store_now).numbered(known->number() + 1),
                          now);
    }
}

/// Plan that is in force once a row was read, with what was in use before.
version_plan version_plan_rows::plan_after(const read_row& row, const version_plan& known,
                                           bool is_return, bool is_informed, bool is_late,
                                           store_time store_now) const
{
    // Streams are in doubt from now on, not only once the plan is written with a new time.
    const version_plan read = is_late ? row.m_plan.moved_to(store_now) : row.m_plan;
    const bool is_ahead = read.number() > known.number();
    // What the store has lost is still in use at the instances that know it.
    const bool is_outdated = is_return && !row.m_is_of_era && !is_ahead;
    const version_plan next = is_outdated ? known.joined(read, store_now, m_settings.m_plan)
                                          : read.joined(known, store_now, m_settings.m_plan);
    // Only a row of this era tells how far back it shows all plans.
    store_time whole_since = known.whole_since();
    if (row.m_is_of_era)
    {
        whole_since = std::min(whole_since, row.m_plan.whole_since());
    }
    else if (is_return && !is_informed)
    {
        whole_since = store_now;
    }
    const bool is_changed =
        next.assignments() != known.assignments() || whole_since != known.whole_since();
    return next.whole_from(whole_since)
        .numbered(is_ahead ? read.number() : known.number() + (is_changed ? 1 : 0));
}

void version_plan_rows::take(const std::string& service, const version_plan& plan,
                             const read_row& row, bool is_late, core::time_point now)
{
    if (!m_state.m_stream_versions.set_plan(service, plan, now))
    {
        return;
    }
    if (is_late)
    {
        m_written_late.insert(service);
    }
    else
    {
        m_written_late.erase(service);
    }
    observe::log("version_plan", {{"service", service},
                                  {"number", plan.number()},
                                  {"era", row.m_version.m_era},
                                  {"row", row.m_version.m_number},
                                  {"row_number", row.m_plan.number()},
                                  {"of_era", row.m_is_of_era},
                                  {"lacking", row.m_is_lacking},
                                  {"whole_since_ms", plan.whole_since().count()},
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
    const auto next = due_change(service, is_planner, fleet, *store_now, now);
    if (!next)
    {
        m_due_since.erase(service);
        return;
    }
    const auto due = m_due_since.try_emplace(service, now).first;
    if (now - due->second >= next->m_delay)
    {
        m_due_since.erase(due);
        write(service, next->m_plan, fleet, *store_now);
    }
}

std::optional<version_plan_rows::due_plan> version_plan_rows::due_change(const std::string& service,
                                                                         bool is_planner,
                                                                         const table_mirror& fleet,
                                                                         store_time store_now,
                                                                         core::time_point now) const
{
    const version_plan* known = m_state.m_stream_versions.plan_of(service);
    if (known == nullptr)
    {
        return due_first_plan(service, is_planner, fleet, store_now, now);
    }
    const auto adapted = known->adapted(capacities_of(service, now), store_now, m_settings.m_plan);
    const auto read = m_read.find(service);
    const bool is_lost = fleet.find(key_of(service)) == nullptr;
    const bool is_lacking = !is_lost && read != m_read.end() && read->second.m_is_lacking;
    const bool is_of_era = is_lost || read == m_read.end() || read->second.m_is_of_era;
    if (is_lost || is_lacking || !is_of_era)
    {
        const version_plan shown = is_lacking ? known->numbered(known->number() + 1) : *known;
        return due_plan{adapted.value_or(shown),
                        is_planner ? core::duration::zero() : m_rewrite_delay};
    }
    const core::duration delay = is_planner ? core::duration::zero() : m_settings.m_takeover_delay;
    if (adapted)
    {
        return due_plan{*adapted, delay};
    }
    if (m_written_late.contains(service))
    {
        return due_plan{known->dated(store_now), delay};
    }
    return std::nullopt;
}

/// Plan of an instance that knows none. After a return of the store others may know one, and write
/// it; if none does, nothing is known of the streams that have begun.
std::optional<version_plan_rows::due_plan>
version_plan_rows::due_first_plan(const std::string& service, bool is_planner,
                                  const table_mirror& fleet, store_time store_now,
                                  core::time_point now) const
{
    const auto read = m_read.find(service);
    const bool is_stored = read != m_read.end() && fleet.find(key_of(service)) != nullptr;
    const version_plan stored = is_stored ? read->second.m_plan : version_plan{};
    const auto adapted = stored.adapted(capacities_of(service, now), store_now, m_settings.m_plan);
    if (!adapted && stored.shares().empty())
    {
        return std::nullopt;
    }
    const version_plan next = adapted.value_or(stored);
    const bool has_lost_plans = is_stored ? fleet.era() > core::first_era
                                          : m_state.m_stream_versions.may_have_lost_plans(now);
    if (!has_lost_plans)
    {
        return due_plan{next, is_planner ? core::duration::zero() : m_settings.m_takeover_delay};
    }
    return due_plan{
        next.numbered(stored.number() + m_settings.m_lost_numbers).whole_from(store_now),
        is_planner ? m_settings.m_takeover_delay : 2 * m_settings.m_takeover_delay};
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
                              const table_mirror& fleet, store_time store_now)
{
    const std::string key = key_of(service);
    const table_row* row = fleet.find(key);
    const core::store_version expected =
        row == nullptr ? core::store_version{fleet.era(), 0} : row->m_version;
    const read_row& read = m_read[service];
    std::optional<era_mark> mark;
    if (fleet.era() > core::first_era)
    {
        // Who reads the first row of an era may not know all plans that were in use before.
        const bool is_first = row == nullptr || !read.m_is_of_era;
        mark = era_mark{fleet.era(), is_first ? store_now : read.m_plan.whole_since()};
    }
    const std::string value = wire::encode(entry_of(service, plan, mark));
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
