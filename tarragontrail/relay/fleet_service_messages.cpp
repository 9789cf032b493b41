// Handles messages of other instances and changed rows of the table store.
#include "tarragontrail/core/compression.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/fleet_service.hpp"
#include "tarragontrail/relay/member_key.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace tarragontrail::relay {
namespace {

/// Largest copy of a table that is taken from another instance.
constexpr std::uint64_t most_copy_bytes = std::uint64_t{64} * 1024 * 1024;

std::size_t value_bytes(const std::vector<table_row>& rows)
{
    return std::accumulate(
        rows.begin(), rows.end(), std::size_t{0},
        [](std::size_t sum, const table_row& row) { return sum + row.m_value.size(); });
}

} // namespace

void fleet_service::on_message(core::instance_id from, const wire::message& message)
{
    const core::time_point now = core::runtime_clock::now();
    if (const auto* notice = std::get_if<wire::weights_notice>(&message))
    {
        on_weights_notice(*notice);
        m_rollout.on_progress(now);
    }
    else if (const auto* release = std::get_if<placement::duty_release>(&message))
    {
        m_rollout.on_yield(*release);
    }
    else if (const auto* update = std::get_if<wire::rows_news>(&message))
    {
        on_rows_news(*update);
    }
    else if (const auto* request = std::get_if<wire::rows_request>(&message))
    {
        on_rows_request(from, *request);
    }
    else if (const auto* answer = std::get_if<wire::rows_answer>(&message))
    {
        on_rows_answer(*answer);
    }
    else if (const auto* begun = std::get_if<wire::streams_notice>(&message))
    {
        for (const wire::begun_stream& each : begun->m_streams)
        {
            m_state.m_stream_versions.on_announced({each.m_stream, {each.m_version}}, now);
        }
    }
    else if (const auto* crash = std::get_if<recovery::crash_report>(&message))
    {
        m_state.m_crash_attribution.on_crash_report(*crash, now);
    }
    else if (const auto* kept = std::get_if<wire::crash_entry>(&message))
    {
        m_state.m_crash_attribution.on_crash_record(m_crash_rows.record_of(*kept), false, now);
    }
    else if (const auto* quarantine = std::get_if<recovery::quarantine_notice>(&message))
    {
        m_state.m_crash_attribution.on_quarantine_notice(*quarantine, now);
    }
    else if (const auto* cleared = std::get_if<recovery::exoneration_notice>(&message))
    {
        m_state.m_crash_attribution.on_exoneration_notice(*cleared, now);
    }
    else if (const auto* parts = std::get_if<recovery::part_crash_report>(&message))
    {
        m_state.m_part_crashes.on_evidence(*parts, now);
    }
    else if (const auto* sound = std::get_if<recovery::part_exoneration_notice>(&message))
    {
        m_state.m_part_crashes.on_evidence(*sound, now);
    }
    else if (const auto* trial = std::get_if<recovery::part_trial_notice>(&message))
    {
        m_state.m_part_crashes.on_evidence(*trial, now);
    }
    else if (const auto* refused = std::get_if<recovery::part_quarantine_notice>(&message))
    {
        m_state.m_part_crashes.on_evidence(*refused, now);
    }
}

void fleet_service::on_part_notice(core::instance_id from, const wire::part_notice& notice)
{
    const cache_store* store = m_state.cache_store_in_use();
    if (store != nullptr && store->m_id == notice.m_engine)
    {
        m_state.m_cached_parts.record_use(notice.m_part, store->m_id, notice.m_tokens,
                                          store->assumed_capacity_tokens());
        return;
    }
    const auto engine = m_state.m_upstreams.find(notice.m_engine);
    const service* target_service = engine && m_state.m_routes
                                        ? m_state.m_routes->find_service(engine->m_record.m_service)
                                        : nullptr;
    if (target_service == nullptr || !target_service->m_engine)
    {
        return;
    }
    if (notice.m_work.count() > 0)
    {
        // Long prompts load an engine faster than the periodic heartbeats report.
        engine->m_load.on_peer_request_sent(from, {notice.m_tokens, notice.m_work},
                                            core::runtime_clock::now());
    }
    m_state.m_cached_parts.record_use(
        notice.m_part, notice.m_engine, notice.m_tokens,
        m_state.m_selector.cache_capacity_tokens(*target_service->m_engine));
}

void fleet_service::on_rows_request(core::instance_id from, const wire::rows_request& request)
{
    if (request.m_table >= followed_table_count)
    {
        observe::log("peer_request_refused", {{"table", request.m_table}});
        return;
    }
    const table_mirror& mirror = m_followers[request.m_table]->mirror();
    if (!mirror.is_complete())
    {
        return;
    }
    const followed_table table{request.m_table};
    const core::time_point now = core::runtime_clock::now();
    if (!m_copy_budget.allows(now))
    {
        // Whoever asks again finds another instance that has the copy.
        observe::log("copy_refused", {{"table", to_string(table)}, {"peer", core::value_of(from)}});
        return;
    }
    const packed_copy& copy = packed_copy_of(table);
    const core::store_version version = mirror.position().m_complete;
    observe::log("copy_sent", {{"table", to_string(table)},
                               {"peer", core::value_of(from)},
                               {"version", version.m_number},
                               {"bytes", copy.m_size},
                               {"sent_bytes", copy.m_bytes.size()}});
    m_copy_budget.on_sent(copy.m_bytes.size(), now);
    m_exchange.send_to(from,
                       wire::rows_answer{request.m_table, version, copy.m_size, copy.m_bytes});
    if (table == followed_table::fleet)
    {
        send_unwritten_crashes(from);
    }
    if (table != followed_table::operators)
    {
        return;
    }
    // Documents in force that the store has lost by a return, until operators write them again.
    const std::vector<table_row> newer = m_document_applier.rows_missing_from(mirror);
    if (!newer.empty())
    {
        m_exchange.send_to(from, wire::rows_news{request.m_table, newer, {}});
    }
}

/// Tells an instance without the table store's rows what these do not hold yet.
void fleet_service::send_unwritten_crashes(core::instance_id to)
{
    const core::time_point now = core::runtime_clock::now();
    for (const wire::crash_entry& entry : m_crash_rows.unwritten(now))
    {
        m_exchange.send_to(to, entry);
    }
    for (const recovery::quarantine_entry& held : m_state.m_crash_attribution.list(now))
    {
        m_exchange.send_to(
            to, recovery::quarantine_notice{
                    held.m_fingerprint,
                    std::chrono::duration_cast<std::chrono::milliseconds>(held.m_until - now),
                    {}});
    }
}

void fleet_service::on_rows_answer(const wire::rows_answer& answer)
{
    if (answer.m_table >= followed_table_count)
    {
        observe::log("peer_answer_refused", {{"table", answer.m_table}});
        return;
    }
    if (answer.m_size > most_copy_bytes)
    {
        observe::log("peer_answer_refused", {{"table", answer.m_table}, {"bytes", answer.m_size}});
        return;
    }
    wire::message unpacked;
    try
    {
        unpacked = wire::decode(core::decompress(answer.m_packed, answer.m_size));
    }
    catch (const core::error& failure)
    {
        observe::log("peer_answer_refused",
                     {{"table", answer.m_table}, {"reason", failure.what()}});
        return;
    }
    const auto* copy = std::get_if<wire::packed_rows>(&unpacked);
    if (copy == nullptr)
    {
        observe::log("peer_answer_refused",
                     {{"table", answer.m_table}, {"reason", "the copy holds another message"}});
        return;
    }
    observe::log("copy_taken", {{"table", to_string(followed_table{answer.m_table})},
                                {"era", answer.m_version.m_era},
                                {"version", answer.m_version.m_number},
                                {"rows", copy->m_rows.size()},
                                {"bytes", answer.m_size}});
    m_followers[answer.m_table]->replace_copy(copy->m_rows, answer.m_version);
    if (answer.m_size > m_settings.m_large_change_bytes)
    {
        // Others that still lack it may ask here from now on.
        m_exchange.broadcast_heartbeat();
    }
}

/// The copy of a table, compressed once for all that ask for it.
const fleet_service::packed_copy& fleet_service::packed_copy_of(followed_table table)
{
    const table_mirror& mirror = follower(table).mirror();
    packed_copy& packed = m_packed_copies[static_cast<std::size_t>(table)];
    if (packed.m_bytes.empty() || packed.m_revision != mirror.revision())
    {
        const std::string rows = wire::encode(wire::packed_rows{mirror.rows()});
        packed = {mirror.revision(), rows.size(), core::compress(rows)};
    }
    return packed;
}

/// Passes changes that the table store has sent on to the instances that do not read it.
void fleet_service::pass_on(followed_table table, const std::vector<table_row>& rows,
                            const change_span& span)
{
    if (!m_is_store_reader)
    {
        return;
    }
    const std::size_t bytes = value_bytes(rows);
    if (bytes <= m_settings.m_large_change_bytes)
    {
        m_exchange.send_to_region(wire::rows_news{static_cast<std::uint64_t>(table), rows, span});
        return;
    }
    observe::log("large_change",
                 {{"table", to_string(table)}, {"rows", rows.size()}, {"bytes", bytes}});
    m_exchange.broadcast_heartbeat();
}

void fleet_service::on_rows_news(const wire::rows_news& update)
{
    if (update.m_table >= followed_table_count)
    {
        observe::log("peer_news_refused", {{"table", update.m_table}});
        return;
    }
    m_followers[update.m_table]->apply_changes(update.m_rows, update.m_span);
    if (followed_table{update.m_table} != followed_table::operators)
    {
        return;
    }
    // The copy of the table drops rows of ended eras; the documents in them may be in force.
    const std::uint64_t era = m_followers[update.m_table]->mirror().era();
    std::vector<table_row> ended;
    std::copy_if(update.m_rows.begin(), update.m_rows.end(), std::back_inserter(ended),
                 [era](const table_row& row) { return row.m_version.m_era < era; });
    on_operator_rows(ended, row_source::news);
}

void fleet_service::on_rows(followed_table table, const std::vector<table_row>& rows,
                            row_source source)
{
    switch (table)
    {
    case followed_table::operators:
        on_operator_rows(rows, source);
        return;
    case followed_table::upstreams:
        m_document_applier.on_upstream_rows(rows);
        return;
    case followed_table::fleet:
        on_fleet_rows(rows);
        return;
    }
}

void fleet_service::on_operator_rows(const std::vector<table_row>& rows, row_source source)
{
    m_document_applier.on_operator_rows(rows, source);
    m_state.m_freshness.on_caught_up();
}

void fleet_service::on_weights_notice(const wire::weights_notice& notice)
{
    const auto engine = m_state.m_upstreams.find(notice.m_engine);
    if (!engine)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    engine->m_loading_weights_until =
        notice.m_loading ? now + m_settings.m_weights_update_timeout : core::time_point::min();
    const placement::weights_version version{notice.m_version};
    if (notice.m_loading || notice.m_version == 0 || engine->version_of(notice.m_model) == version)
    {
        return;
    }
    engine->set_version(notice.m_model, version);
    m_state.m_cached_parts.clear_holder(notice.m_engine);
}

void fleet_service::on_fleet_rows(const std::vector<table_row>& rows)
{
    bool members_changed = false;
    for (const table_row& row : rows)
    {
        try
        {
            members_changed |= row.m_deleted ? on_fleet_row_deleted(row) : on_fleet_row(row);
        }
        catch (const wire::decode_error& failure)
        {
            m_state.m_metrics.count_refused_document("fleet");
            observe::log("fleet_row_refused", {{"reader", "fleet"},
                                               {"key", row.m_key},
                                               {"bytes", row.m_value.size()},
                                               {"reason", failure.what()}});
        }
    }
    apply_kept_crashes();
    m_state.m_quarantines_known |= follower(followed_table::fleet).mirror().is_complete();
    if (members_changed)
    {
        m_exchange.update_members();
    }
}

/// Returns whether the members have changed.
bool fleet_service::on_fleet_row_deleted(const table_row& row)
{
    if (row.m_key.starts_with(crash_rows::key_prefix))
    {
        m_crash_rows.on_row_deleted(row.m_key);
        return false;
    }
    if (const auto instance = instance_of_key(row.m_key))
    {
        m_registry.remove(*instance, core::runtime_clock::now());
        return true;
    }
    if (row.m_key.starts_with(member_prefix))
    {
        observe::log("fleet_row_refused",
                     {{"key", row.m_key}, {"reason", "key names no instance"}});
    }
    return false;
}

/// Returns whether the members have changed; throws wire::decode_error.
bool fleet_service::on_fleet_row(const table_row& row)
{
    const wire::message message = wire::decode(row.m_value);
    if (const auto* entry = std::get_if<wire::member_entry>(&message);
        entry && row.m_key.starts_with(member_prefix))
    {
        return m_registry.apply(*entry);
    }
    if (const auto* duty = std::get_if<wire::duty_entry>(&message);
        duty && row.m_key == weights_rollout_coordinator::row_key)
    {
        m_rollout.on_row(duty->m_row, row.m_version);
        return false;
    }
    if (const auto* holding = std::get_if<placement::duty_holding>(&message);
        holding && row.m_key == weights_rollout_coordinator::row_key)
    {
        m_rollout.on_holding(*holding, row.m_version);
        return false;
    }
    if (const auto* release = std::get_if<placement::duty_release>(&message);
        release && row.m_key == weights_rollout_coordinator::row_key)
    {
        m_rollout.on_release(*release, row.m_version);
        return false;
    }
    if (const auto* plan = std::get_if<wire::version_plan_entry>(&message);
        plan && row.m_key.starts_with(version_plan_rows::key_prefix))
    {
        m_version_plans.on_row(*plan, row.m_version, core::runtime_clock::now());
        const auto announced = m_state.m_stream_versions.take_announcements();
        if (!announced.empty())
        {
            announce_streams(announced);
        }
        return false;
    }
    const bool is_quarantine =
        row.m_key.starts_with(quarantine_rows::key_prefix) && on_quarantine_row(row.m_key, message);
    if (!is_quarantine && !on_kept_row(row, message))
    {
        observe::log("fleet_row_refused",
                     {{"key", row.m_key}, {"reason", "message type does not match the key"}});
    }
    return false;
}

/// Returns whether the message is one of a crash's row or one of namings of weights.
bool fleet_service::on_kept_row(const table_row& row, const wire::message& message)
{
    if (const auto* crash = std::get_if<wire::crash_entry>(&message);
        crash && row.m_key.starts_with(crash_rows::key_prefix))
    {
        if (const auto record = m_crash_rows.on_row(row.m_key, *crash))
        {
            m_read_crashes.push_back(*record);
        }
        return true;
    }
    if (const auto* named = std::get_if<wire::weights_naming_entry>(&message);
        named && row.m_key.starts_with(weights_naming_rows::key_prefix))
    {
        m_weights_namings.on_row(*named, core::runtime_clock::now());
        return true;
    }
    return false;
}

/// The rows that were read together are applied in the order of their crashes.
void fleet_service::apply_kept_crashes()
{
    std::vector<recovery::crash_record> records = std::exchange(m_read_crashes, {});
    std::sort(records.begin(), records.end(),
              [](const recovery::crash_record& a, const recovery::crash_record& b) {
                  return a.m_age > b.m_age;
              });
    for (const recovery::crash_record& record : records)
    {
        m_state.m_crash_attribution.on_crash_record(record, true, core::runtime_clock::now());
    }
    for (const recovery::crash_history& history : std::exchange(m_read_histories, {}))
    {
        m_state.m_crash_attribution.on_crash_history(history, core::runtime_clock::now());
    }
}

/// Returns whether the message is one of a quarantine's row; throws wire::decode_error.
bool fleet_service::on_quarantine_row(const std::string& key, const wire::message& message)
{
    const core::time_point now = core::runtime_clock::now();
    if (const auto* parts = std::get_if<wire::part_quarantine_entry>(&message))
    {
        if (const auto notice = m_quarantine_rows.on_row(key, *parts))
        {
            m_state.m_part_crashes.on_evidence(*notice, now);
        }
        return true;
    }
    if (const auto* refused = std::get_if<wire::request_quarantine_entry>(&message))
    {
        if (const auto notice = m_quarantine_rows.on_row(key, *refused))
        {
            m_state.m_crash_attribution.on_quarantine_notice(*notice, now);
        }
        return true;
    }
    if (const auto* suspended = std::get_if<wire::request_suspension_entry>(&message))
    {
        if (const auto history = m_quarantine_rows.on_row(key, *suspended))
        {
            m_read_histories.push_back(*history);
        }
        return true;
    }
    return false;
}

/// Rows matter here also where their values are those of an earlier era, and what this instance
/// wrote may be lost.
void fleet_service::on_fleet_table_of_new_era()
{
    const table_mirror& mirror = follower(followed_table::fleet).mirror();
    m_crash_rows.begin_era();
    m_weights_namings.begin_era();
    m_state.m_crash_attribution.forget_kept();
    const core::time_point now = core::runtime_clock::now();
    m_state.m_stream_versions.on_era(mirror.era(), now);
    m_version_plans.begin_era(mirror, now);
    on_fleet_rows(mirror.rows());
    if (mirror.find(weights_rollout_coordinator::row_key) == nullptr)
    {
        m_rollout.on_row(std::nullopt, {mirror.era(), 0});
    }
    check_registration();
    m_quarantine_rows.begin_era(
        [&mirror](const std::string& key) { return mirror.find(key) != nullptr; });
}

} // namespace tarragontrail::relay
