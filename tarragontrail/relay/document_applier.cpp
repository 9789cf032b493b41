#include "tarragontrail/relay/document_applier.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>

namespace tarragontrail::relay {

void document_applier::on_operator_rows(const std::vector<table_row>& rows, row_source source)
{
    for (const table_row& row : rows)
    {
        if (row.m_deleted)
        {
            continue;
        }
        try
        {
            apply_operator_row(row, source);
        }
        catch (const document_error& failure)
        {
            m_state.m_metrics.count_refused_document("operators");
            observe::log("document_refused", {{"reader", "operators"},
                                              {"key", row.m_key},
                                              {"bytes", row.m_value.size()},
                                              {"reason", failure.what()}});
        }
        catch (const std::exception& failure)
        {
            log_failed_row("operators", row, failure);
        }
    }
    m_has_table |= source != row_source::news;
}

/// A row that cannot be applied costs none of those behind it.
void document_applier::log_failed_row(const char* reader, const table_row& row,
                                      const std::exception& failure)
{
    m_state.m_metrics.count_refused_document(reader);
    observe::log("row_failed",
                 {{"reader", reader}, {"key", row.m_key}, {"reason", failure.what()}});
}

void document_applier::apply_operator_row(const table_row& row, row_source source)
{
    const core::time_point begun = core::runtime_clock::now();
    operator_document document = m_reader.read_operator_row(row);
    if (auto* config = std::get_if<relay_config>(&document))
    {
        const configuration_origin origin{source, row.m_version, row.m_value.size(),
                                          core::runtime_clock::now() - begun};
        if (apply_config(std::move(*config), origin))
        {
            m_rows_in_force[row.m_key] = row;
        }
        return;
    }
    const auto* target = std::get_if<target_weights>(&document);
    if (target == nullptr)
    {
        return;
    }
    target_weights_history& history = m_state.m_target_weights[target->m_model];
    const bool is_found = !m_has_table && source != row_source::news;
    const core::time_point now = core::runtime_clock::now();
    if (is_found ? history.add_found_version(target->m_version, now)
                 : history.add_version(target->m_version, now))
    {
        m_rows_in_force[row.m_key] = row;
        observe::log("weights_named", {{"model", target->m_model},
                                       {"version", static_cast<std::uint64_t>(target->m_version)},
                                       {"found", is_found},
                                       {"row", row.m_version.m_number}});
    }
}

std::vector<table_row> document_applier::rows_missing_from(const table_mirror& operators) const
{
    std::vector<table_row> missing;
    for (const auto& [key, row] : m_rows_in_force)
    {
        const table_row* kept = operators.find(key);
        if (kept == nullptr || kept->m_value != row.m_value)
        {
            missing.push_back(row);
        }
    }
    return missing;
}

/// Applies a configuration unless one at least as new is in force; returns whether it did.
bool document_applier::apply_config(relay_config config, const configuration_origin& origin)
{
    if (m_state.m_routes && config.m_version == m_state.m_routes->config().m_version)
    {
        return false;
    }
    if (m_state.m_routes && config.m_version < m_state.m_routes->config().m_version)
    {
        observe::log("config_passed_over", {{"version", config.m_version},
                                            {"in_force", m_state.m_routes->config().m_version}});
        return false;
    }
    const core::time_point now = core::runtime_clock::now();
    for (const workspace& entry : config.m_workspaces)
    {
        m_state.m_limits.set_limit(
            core::id_of<core::workspace_id>(entry.m_name),
            {static_cast<double>(entry.m_rate), static_cast<double>(entry.m_burst)}, now);
    }
    observe::log("config_in_force", {{"version", config.m_version},
                                     {"routes", config.m_routes.size()},
                                     {"workspaces", config.m_workspaces.size()},
                                     {"source", to_string(origin.m_source)},
                                     {"row", origin.m_row.m_number},
                                     {"bytes", origin.m_bytes},
                                     {"decode_ms", rounded_milliseconds(origin.m_decode_time)}});
    m_state.m_configuration_origin = origin;
    m_state.m_routes = std::make_shared<const route_table>(std::move(config));
    if (m_state.m_on_config)
    {
        m_state.m_on_config();
    }
    return true;
}

void document_applier::on_upstream_rows(const std::vector<table_row>& rows)
{
    for (const table_row& row : rows)
    {
        try
        {
            if (row.m_deleted)
            {
                remove_upstream(core::id_of<core::upstream_id>(row.m_key), row.m_version.m_era);
                continue;
            }
            on_upstream_row(m_reader.read_upstream_row(row), row.m_version.m_era);
        }
        catch (const document_error& failure)
        {
            m_state.m_metrics.count_refused_document("upstreams");
            observe::log("upstream_refused", {{"reader", "upstreams"},
                                              {"key", row.m_key},
                                              {"bytes", row.m_value.size()},
                                              {"reason", failure.what()}});
            withdraw_upstream(core::id_of<core::upstream_id>(row.m_key), row.m_version.m_era);
        }
        catch (const std::exception& failure)
        {
            log_failed_row("upstreams", row, failure);
        }
    }
}

/// A row that cannot be read names no upstream to use: it gets no new requests, as one that leaves,
/// and those under way go on. It did not crash.
void document_applier::withdraw_upstream(core::upstream_id id, std::uint64_t era)
{
    m_doubted_rows.erase(id);
    const auto known = m_state.m_upstreams.find(id);
    if (!known)
    {
        return;
    }
    observe::log("upstream_withdrawn", {{"name", known->m_record.m_name},
                                        {"leaving", known->m_leaving_since.has_value()}});
    known->m_era = era;
    m_state.m_upstreams.remove(id, core::runtime_clock::now());
}

void document_applier::on_upstreams_restored(core::time_point now)
{
    for (auto& [id, doubted] : m_doubted_rows)
    {
        doubted.m_until = now + m_settings.m_doubt_limit;
    }
}

void document_applier::on_timer(core::time_point now)
{
    for (auto entry = m_doubted_rows.begin(); entry != m_doubted_rows.end();)
    {
        if (now < entry->second.m_until)
        {
            ++entry;
            continue;
        }
        const doubted_row kept = std::move(entry->second);
        entry = m_doubted_rows.erase(entry);
        apply_upstream(kept.m_record, kept.m_era);
    }
}

void document_applier::on_upstream_row(const upstream_record& record, std::uint64_t era)
{
    const auto known = m_state.m_upstreams.find(record.m_id);
    if (known && is_doubted(*known, record, era, core::runtime_clock::now()))
    {
        observe::log("upstream_doubted", {{"name", record.m_name},
                                          {"era", era},
                                          {"reports", record.m_reports},
                                          {"leaving", known->m_leaving_since.has_value()}});
        return;
    }
    m_doubted_rows.erase(record.m_id);
    apply_upstream(record, era);
}

/// Whether the row contradicts what is known and may be part of the copy that the store returned
/// to.
bool document_applier::is_doubted(const upstream& known, const upstream_record& record,
                                  std::uint64_t era, core::time_point now)
{
    const bool is_same_start = record.m_started == known.m_record.m_started;
    const bool is_back = is_same_start && known.m_leaving_since && !record.m_leaving;
    if (!is_back && record.m_started >= known.m_record.m_started)
    {
        return false;
    }
    const auto found = m_doubted_rows.find(record.m_id);
    if (found == m_doubted_rows.end())
    {
        if (era <= known.m_era)
        {
            return false;
        }
        m_doubted_rows[record.m_id] = {record, era,
                                       std::max(known.m_record.m_reports, record.m_reports),
                                       now + m_settings.m_doubt_limit};
        return true;
    }
    doubted_row& doubted = found->second;
    if (is_same_start && record.m_reports > doubted.m_reports)
    {
        return false;
    }
    doubted.m_record = record;
    doubted.m_era = era;
    return true;
}

void document_applier::apply_upstream(const upstream_record& record, std::uint64_t era)
{
    const core::time_point now = core::runtime_clock::now();
    const auto known = m_state.m_upstreams.find(record.m_id);
    upstream_record updated = record;
    if (known && known->m_record.m_started == record.m_started)
    {
        // The row may be older than a version that a peer or a response reported.
        for (model_weights& loaded : updated.m_models)
        {
            const auto version = known->version_of(loaded.m_model);
            loaded.m_version = std::max(loaded.m_version, version.value_or(loaded.m_version));
        }
    }
    else
    {
        if (known)
        {
            m_state.m_crash_attribution.on_engine_crashed(record.m_id, known->m_record.m_started,
                                                          now);
            m_state.m_part_crashes.on_engine_crashed(record.m_id, known->m_record.m_started, now);
        }
        m_state.m_cached_parts.clear_holder(record.m_id);
    }
    const bool has_changed = m_state.m_upstreams.apply(updated, now);
    m_state.m_upstreams.find(record.m_id)->m_era = era;
    if (!has_changed)
    {
        return;
    }
    observe::log("upstream",
                 {{"name", updated.m_name},
                  {"service", updated.m_service},
                  {"software", updated.m_software.m_name},
                  {"started", core::value_of(updated.m_started)},
                  {"leaving", updated.m_leaving},
                  {"weights", updated.m_models.empty() ? 0
                                                       : static_cast<std::uint64_t>(
                                                             updated.m_models.front().m_version)}});
}

void document_applier::remove_upstream(core::upstream_id id, std::uint64_t era)
{
    m_doubted_rows.erase(id);
    const core::time_point now = core::runtime_clock::now();
    const auto known = m_state.m_upstreams.find(id);
    if (!known)
    {
        return;
    }
    // It may count as leaving here for another reason than its own word.
    if (!known->m_record.m_leaving)
    {
        m_state.m_crash_attribution.on_engine_crashed(id, known->m_record.m_started, now);
    }
    observe::log("upstream_gone", {{"name", known->m_record.m_name},
                                   {"leaving", known->m_leaving_since.has_value()}});
    known->m_era = era;
    m_state.m_upstreams.remove(id, now);
}

} // namespace tarragontrail::relay
