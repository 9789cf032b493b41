#include "tarragontrail/relay/quarantine_rows.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace tarragontrail::relay {
namespace {

constexpr std::chrono::milliseconds retry_delay{400};
/// Time that the instance which found a quarantine has to write its row again.
constexpr std::chrono::milliseconds rewrite_delay{3'000};
/// Crashes count for this long.
constexpr std::chrono::milliseconds suspension_time = std::chrono::minutes(10);
/// Notices of one quarantine differ by the time that they were on their way.
constexpr std::chrono::milliseconds renewal_margin{60'000};
/// A row that lasts longer was not written by an instance.
constexpr std::chrono::milliseconds longest_quarantine = std::chrono::hours(24 * 366);
/// Written rows are forgotten beyond this number; a repeated write does no harm.
constexpr std::size_t max_rows = 512;

/// The rows outlive every process, so their times are those of the calendar.
std::chrono::milliseconds unix_time()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::string key_of(const std::vector<std::uint64_t>& parts)
{
    std::uint64_t hash = 0;
    for (const std::uint64_t part : parts)
    {
        hash = core::hash_pair(part, hash);
    }
    return fmt::format("{}{:016x}", quarantine_rows::key_prefix, hash);
}

} // namespace

quarantine_rows::quarantine_rows(boost::asio::io_context& context, table_store& store)
    : m_store(store), m_retry_timer(context), m_rewrite_timer(context)
{}

void quarantine_rows::write(const recovery::part_quarantine_notice& notice)
{
    write_entry(key_of(notice.m_parts),
                wire::part_quarantine_entry{notice.m_parts, 0, notice.m_crashes},
                notice.m_duration);
}

void quarantine_rows::write(const recovery::quarantine_notice& notice)
{
    write_entry(fmt::format("{}request-{:016x}", key_prefix, notice.m_fingerprint),
                wire::request_quarantine_entry{notice.m_fingerprint, 0, notice.m_crashes},
                notice.m_duration);
}

void quarantine_rows::write(const recovery::crash_history& suspended)
{
    write_entry(fmt::format("{}suspended-{:016x}", key_prefix, suspended.m_fingerprint),
                wire::request_suspension_entry{suspended.m_fingerprint, 0, suspended.m_crashes},
                suspension_time);
}

template <class Entry>
void quarantine_rows::write_entry(const std::string& key, Entry entry,
                                  std::chrono::milliseconds duration)
{
    const std::chrono::milliseconds until = unix_time() + duration;
    const auto known = m_rows.find(key);
    if (known != m_rows.end() && until < known->second.m_until + renewal_margin)
    {
        return;
    }
    if (m_rows.size() >= max_rows)
    {
        std::erase_if(m_rows, [](const auto& row) { return row.second.m_is_written; });
    }
    entry.m_until_unix_ms = static_cast<std::uint64_t>(until.count());
    m_rows[key] = {wire::encode(entry), until, false, false, true};
    send(key);
}

std::optional<recovery::part_quarantine_notice>
quarantine_rows::on_row(const std::string& key, const wire::part_quarantine_entry& entry)
{
    const auto left = keep_entry(key, entry);
    return left ? std::make_optional(
                      recovery::part_quarantine_notice{entry.m_parts, *left, entry.m_crashes})
                : std::nullopt;
}

std::optional<recovery::quarantine_notice>
quarantine_rows::on_row(const std::string& key, const wire::request_quarantine_entry& entry)
{
    const auto left = keep_entry(key, entry);
    return left ? std::make_optional(
                      recovery::quarantine_notice{entry.m_fingerprint, *left, entry.m_crashes})
                : std::nullopt;
}

std::optional<recovery::crash_history>
quarantine_rows::on_row(const std::string& key, const wire::request_suspension_entry& entry)
{
    return keep_entry(key, entry)
               ? std::make_optional(recovery::crash_history{entry.m_fingerprint, entry.m_crashes})
               : std::nullopt;
}

/// Time that is left of a quarantine; nothing when it is over.
template <class Entry>
std::optional<std::chrono::milliseconds> quarantine_rows::keep_entry(const std::string& key,
                                                                     const Entry& entry)
{
    const std::chrono::milliseconds now = unix_time();
    if (entry.m_until_unix_ms > static_cast<std::uint64_t>((now + longest_quarantine).count()))
    {
        throw wire::decode_error("quarantine ends too late");
    }
    const std::chrono::milliseconds until(entry.m_until_unix_ms);
    const std::chrono::milliseconds left = until - now;
    if (left.count() <= 0)
    {
        m_rows.erase(key);
        return std::nullopt;
    }
    const bool is_own = m_rows.contains(key) && m_rows.at(key).m_is_own;
    m_rows[key] = {wire::encode(entry), until, true, false, is_own};
    return left;
}

void quarantine_rows::begin_era(const std::function<bool(const std::string& key)>& has_row)
{
    for (auto& [key, row] : m_rows)
    {
        row.m_is_written = has_row(key);
        if (!row.m_is_written && row.m_is_own && !row.m_is_sent)
        {
            send(key);
        }
    }
    m_rewrite_timer.run_after(rewrite_delay, [this] { write_missing(); });
}

void quarantine_rows::write_missing()
{
    std::erase_if(m_rows, [](const auto& entry) { return entry.second.m_until <= unix_time(); });
    retry();
}

void quarantine_rows::send(const std::string& key)
{
    pending_row& row = m_rows.at(key);
    row.m_is_sent = true;
    m_store.write(key, row.m_value, std::nullopt, [this, key](const row_write_result& written) {
        const auto found = m_rows.find(key);
        if (found == m_rows.end())
        {
            return;
        }
        found->second.m_is_sent = false;
        found->second.m_is_written |= written.m_outcome == row_write_result::outcome::applied;
        observe::log("quarantine_written", {{"key", key}, {"applied", found->second.m_is_written}});
        if (!found->second.m_is_written)
        {
            m_retry_timer.run_after(retry_delay, [this] { retry(); });
        }
    });
}

void quarantine_rows::retry()
{
    for (const auto& [key, row] : m_rows)
    {
        if (!row.m_is_written && !row.m_is_sent)
        {
            send(key);
        }
    }
}

} // namespace tarragontrail::relay
