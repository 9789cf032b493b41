#pragma once

#include "tarragontrail/recovery/messages.hpp"
#include "tarragontrail/relay/relay_state.hpp"
#include "tarragontrail/relay/row_publisher.hpp"
#include "tarragontrail/wire/generated_messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Settings of crash_rows.
struct crash_rows_settings
{
    /// Rows that the table has at most; the oldest crash gives way.
    std::size_t m_max_rows = 128;
    /// Crashes count for this long.
    std::chrono::seconds m_lifetime{600};
    /// Writes under way at a time.
    std::size_t m_max_writes = 4;
    /// An instance that is not the first one writes a crash that nobody has written for this long,
    /// and up to twice as long.
    std::chrono::milliseconds m_takeover_delay{3'000};
    /// Delay after a write that failed; doubles with each further one.
    std::chrono::milliseconds m_retry_delay{400};
    /// Upper bound of that delay.
    std::chrono::milliseconds m_max_retry_delay{12'800};
};

/// Keeps crashes of engines, and the requests that they ran, in the platform's table store for
/// instances that start later.
///
/// Load pattern: hundreds of instances hear of each crash. The first ready one writes its row, once
/// the reports are in; the others only if it does not.
class crash_rows
{
public:
    /// Prefix of the keys in the fleet's table; the number of a slot follows.
    static constexpr std::string_view key_prefix = "crash/";

    crash_rows(relay_state& state, table_store& store, row_publisher publish,
               crash_rows_settings settings = {});

    /// Takes a crash to be written, in place of an earlier record of the same crash.
    void keep(const recovery::crash_record& record, core::time_point now);

    /// A row was read. Returns its crash unless it no longer counts.
    std::optional<recovery::crash_record> on_row(const std::string& key,
                                                 const wire::crash_entry& entry);

    /// A row was deleted, or is lost.
    void on_row_deleted(const std::string& key) { m_slots.erase(key); }

    /// Writes what is due; `is_writer` tells that this instance is the first one to do so.
    void check(bool is_writer, const table_mirror& fleet, core::time_point now);

    /// The table store has come back from an older copy: no row is known.
    void begin_era() { m_slots.clear(); }

    /// Crashes that the table store does not have yet, as far as known.
    std::vector<wire::crash_entry> unwritten(core::time_point now) const;

    /// Crash of an entry, by its age at present.
    recovery::crash_record record_of(const wire::crash_entry& entry) const;

private:
    /// Row of the table.
    struct slot
    {
        recovery::crash_identity m_crash;
        store_time m_at{};
    };

    /// Crash to be written.
    struct pending_crash
    {
        std::vector<std::uint64_t> m_fingerprints;
        core::time_point m_reported{}; ///< When the crash was first reported.
        core::time_point m_due{};      ///< From then on an instance that is not the first writes.
        bool m_is_sent = false;        ///< A write is under way.
    };

    std::optional<store_time> store_now() const;
    wire::crash_entry entry_of(const recovery::crash_identity& key, const pending_crash& crash,
                               core::time_point now) const;
    std::string choose_key(const recovery::crash_identity& crash) const;
    void write(const recovery::crash_identity& crash, pending_crash& pending,
               const table_mirror& fleet, core::time_point now);
    void on_written(const recovery::crash_identity& crash, table_row row,
                    const row_write_result& written);

    crash_rows_settings m_settings;
    relay_state& m_state;
    table_store& m_store;
    row_publisher m_publish;
    std::map<std::string, slot> m_slots; ///< By key.
    std::map<recovery::crash_identity, pending_crash> m_pending;
    std::set<std::string> m_writing; ///< Keys of the writes under way.
    std::chrono::milliseconds m_next_retry_delay;
    core::time_point m_retry_at = core::time_point::min();
};

} // namespace tarragontrail::relay
