#include "tarragontrail/relay/weights_naming_rows.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

std::string key_of(const std::string& model)
{
    return std::string(weights_naming_rows::key_prefix) + model;
}

} // namespace

weights_naming_rows::weights_naming_rows(relay_state& state, table_store& store,
                                         row_publisher publish,
                                         weights_naming_rows_settings settings)
    : m_settings(settings), m_state(state), m_store(store), m_publish(std::move(publish))
{}

void weights_naming_rows::on_row(const wire::weights_naming_entry& entry, core::time_point now)
{
    const auto store_now = m_state.m_freshness.store_time_at(core::suspension_counting_now());
    for (const wire::weights_naming& naming : entry.m_namings)
    {
        const placement::weights_version version{naming.m_version};
        placement::weights_version& kept = m_kept[entry.m_model];
        kept = std::max(kept, version);
        // A time ahead of the store's clock is one of a clock that does not run any more.
        if (store_now && naming.m_at <= *store_now)
        {
            m_state.m_target_weights[entry.m_model].set_time(version,
                                                             now - (*store_now - naming.m_at));
        }
    }
}

void weights_naming_rows::check(bool is_writer, const table_mirror& fleet, core::time_point now)
{
    if (!fleet.is_complete() || now < m_retry_at)
    {
        return;
    }
    for (const auto& [model, history] : m_state.m_target_weights)
    {
        check_model(model, is_writer, fleet, now);
    }
}

void weights_naming_rows::check_model(const std::string& model, bool is_writer,
                                      const table_mirror& fleet, core::time_point now)
{
    const auto dated = m_state.m_target_weights.at(model).dated_versions();
    const auto kept = m_kept.find(model);
    const bool is_kept =
        dated.empty() || (kept != m_kept.end() && kept->second >= dated.back().m_version);
    if (is_kept || m_writing.contains(model))
    {
        m_due_since.erase(model);
        return;
    }
    const auto due = m_due_since.try_emplace(model, now).first;
    if (is_writer || now - due->second >= m_settings.m_takeover_delay)
    {
        write(model, fleet, now);
    }
}

void weights_naming_rows::write(const std::string& model, const table_mirror& fleet,
                                core::time_point now)
{
    const auto store_now = m_state.m_freshness.store_time_at(core::suspension_counting_now());
    if (!store_now)
    {
        return;
    }
    auto dated = m_state.m_target_weights.at(model).dated_versions();
    if (dated.size() > m_settings.m_max_namings)
    {
        dated.erase(dated.begin(),
                    dated.end() - static_cast<std::ptrdiff_t>(m_settings.m_max_namings));
    }
    wire::weights_naming_entry entry{model, {}};
    for (const target_weights_history::naming& naming : dated)
    {
        const auto age = std::chrono::duration_cast<store_time>(now - naming.m_at);
        entry.m_namings.push_back({static_cast<std::uint64_t>(naming.m_version),
                                   std::max(*store_now - age, store_time::zero())});
    }
    const std::string key = key_of(model);
    const table_row* present = fleet.find(key);
    const core::store_version expected =
        present == nullptr ? core::store_version{fleet.era(), 0} : present->m_version;
    const std::string value = wire::encode(entry);
    m_writing.insert(model);
    m_store.write(key, value, expected, [this, model, key, value](const row_write_result& written) {
        m_writing.erase(model);
        const bool is_applied = written.m_outcome == row_write_result::outcome::applied;
        observe::log("weights_naming_written", {{"model", model}, {"applied", is_applied}});
        if (!is_applied)
        {
            m_retry_at = core::runtime_clock::now() + m_settings.m_retry_delay;
            return;
        }
        m_publish({key, value, written.m_version, false});
    });
}

} // namespace tarragontrail::relay
