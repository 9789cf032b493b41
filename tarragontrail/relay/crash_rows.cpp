#include "tarragontrail/relay/crash_rows.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace tarragontrail::relay {
namespace {

/// A crash that lies further ahead was dated by a clock of the store that does not run any more.
constexpr store_time clock_tolerance = std::chrono::seconds(10);

} // namespace

crash_rows::crash_rows(relay_state& state, table_store& store, row_publisher publish,
                       crash_rows_settings settings)
    : m_settings(settings), m_state(state), m_store(store), m_publish(std::move(publish)),
      m_next_retry_delay(settings.m_retry_delay)
{}

std::optional<store_time> crash_rows::store_now() const
{
    return m_state.m_freshness.store_time_at(core::suspension_counting_now());
}

void crash_rows::keep(const recovery::crash_record& record, core::time_point now)
{
    const core::duration spread =
        core::scaled(m_settings.m_takeover_delay, m_state.m_random.unit());
    const auto known = m_pending.find(record.m_crash);
    const core::time_point due =
        known != m_pending.end() ? known->second.m_due : now + m_settings.m_takeover_delay + spread;
    const bool is_sent = known != m_pending.end() && known->second.m_is_sent;
    m_pending[record.m_crash] = {record.m_fingerprints, now - record.m_age, due, is_sent};
}

std::optional<recovery::crash_record> crash_rows::on_row(const std::string& key,
                                                         const wire::crash_entry& entry)
{
    const recovery::crash_identity crash{entry.m_engine, entry.m_started};
    m_slots[key] = {crash, entry.m_at};
    const auto pending = m_pending.find(crash);
    if (pending != m_pending.end() &&
        std::all_of(pending->second.m_fingerprints.begin(), pending->second.m_fingerprints.end(),
                    [&entry](std::uint64_t each) {
                        return std::find(entry.m_fingerprints.begin(), entry.m_fingerprints.end(),
                                         each) != entry.m_fingerprints.end();
                    }))
    {
        m_pending.erase(pending);
    }
    const auto present = store_now();
    if (present && entry.m_at > *present + clock_tolerance)
    {
        m_slots[key].m_at = store_time::zero();
        return std::nullopt;
    }
    return record_of(entry);
}

recovery::crash_record crash_rows::record_of(const wire::crash_entry& entry) const
{
    const auto present = store_now();
    const bool is_dated = present && entry.m_at > store_time::zero();
    const store_time age =
        is_dated ? std::max(*present - entry.m_at, store_time::zero()) : store_time::zero();
    return {{entry.m_engine, entry.m_started}, age, entry.m_fingerprints};
}

wire::crash_entry crash_rows::entry_of(const recovery::crash_identity& crash,
                                       const pending_crash& pending, core::time_point now) const
{
    const auto present = store_now();
    const auto age = std::chrono::duration_cast<store_time>(now - pending.m_reported);
    return {crash.m_engine, crash.m_started,
            present ? std::max(*present - age, store_time(1)) : store_time::zero(),
            pending.m_fingerprints};
}

std::vector<wire::crash_entry> crash_rows::unwritten(core::time_point now) const
{
    std::vector<wire::crash_entry> entries;
    for (const auto& [crash, pending] : m_pending)
    {
        entries.push_back(entry_of(crash, pending, now));
    }
    return entries;
}

void crash_rows::check(bool is_writer, const table_mirror& fleet, core::time_point now)
{
    if (!fleet.is_complete() || !store_now() || now < m_retry_at)
    {
        return;
    }
    // While the store refuses writes one at a time shows when it takes them again.
    const bool is_failing = m_next_retry_delay > m_settings.m_retry_delay;
    const std::size_t limit = is_failing ? 1 : m_settings.m_max_writes;
    std::erase_if(m_pending, [this, now](const auto& entry) {
        return !entry.second.m_is_sent && now - entry.second.m_reported >= m_settings.m_lifetime;
    });
    std::vector<recovery::crash_identity> due;
    for (const auto& [crash, pending] : m_pending)
    {
        if (!pending.m_is_sent && (is_writer || now >= pending.m_due))
        {
            due.push_back(crash);
        }
    }
    for (const recovery::crash_identity& crash : due)
    {
        if (m_writing.size() >= limit || now < m_retry_at)
        {
            return;
        }
        write(crash, m_pending.at(crash), fleet, now);
    }
}

/// Key of the crash's own row, of no row yet, or of the oldest crash.
std::string crash_rows::choose_key(const recovery::crash_identity& crash) const
{
    const auto own = std::find_if(m_slots.begin(), m_slots.end(), [&](const auto& entry) {
        return entry.second.m_crash == crash && !m_writing.contains(entry.first);
    });
    if (own != m_slots.end())
    {
        return own->first;
    }
    std::string oldest;
    for (std::size_t i = 0; i < m_settings.m_max_rows; ++i)
    {
        std::string key = fmt::format("{}{:03}", key_prefix, i);
        if (m_writing.contains(key))
        {
            continue;
        }
        const auto used = m_slots.find(key);
        if (used == m_slots.end())
        {
            return key;
        }
        if (oldest.empty() || used->second.m_at < m_slots.at(oldest).m_at)
        {
            oldest = std::move(key);
        }
    }
    return oldest;
}

void crash_rows::write(const recovery::crash_identity& crash, pending_crash& pending,
                       const table_mirror& fleet, core::time_point now)
{
    const std::string key = choose_key(crash);
    const table_row* present = fleet.find(key);
    const core::store_version expected =
        present == nullptr ? core::store_version{fleet.era(), 0} : present->m_version;
    table_row row{key, wire::encode(entry_of(crash, pending, now)), {}, false};
    pending.m_is_sent = true;
    m_writing.insert(key);
    m_store.write(key, row.m_value, expected, [this, crash, row](const row_write_result& written) {
        on_written(crash, row, written);
    });
}

void crash_rows::on_written(const recovery::crash_identity& crash, table_row row,
                            const row_write_result& written)
{
    m_writing.erase(row.m_key);
    const auto pending = m_pending.find(crash);
    const bool is_applied = written.m_outcome == row_write_result::outcome::applied;
    observe::log(
        "crash_written",
        {{"key", row.m_key}, {"engine", core::value_of(crash.m_engine)}, {"applied", is_applied}});
    if (pending != m_pending.end())
    {
        pending->second.m_is_sent = false;
    }
    if (is_applied)
    {
        m_next_retry_delay = m_settings.m_retry_delay;
        row.m_version = written.m_version;
        m_publish(row);
        return;
    }
    m_retry_at = core::runtime_clock::now() + m_next_retry_delay;
    if (written.m_outcome != row_write_result::outcome::conflict)
    {
        m_next_retry_delay = std::min(2 * m_next_retry_delay, m_settings.m_max_retry_delay);
    }
}

} // namespace tarragontrail::relay
