#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/recovery/messages.hpp"
#include "tarragontrail/recovery/part_messages.hpp"
#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/wire/generated_messages.hpp"

#include <functional>
#include <map>
#include <string>

namespace tarragontrail::relay {

/// Keeps quarantines of requests and of parts of prompts, and crashes of suspended requests, in the
/// platform's table store for instances that start later.
class quarantine_rows
{
public:
    /// Prefix of the keys of quarantines in the fleet's table.
    static constexpr std::string_view key_prefix = "quarantine/";

    quarantine_rows(boost::asio::io_context& context, table_store& store);

    /// Writes a quarantine unless its row lasts as long; repeats a write that failed.
    void write(const recovery::part_quarantine_notice& notice);
    void write(const recovery::quarantine_notice& notice);
    void write(const recovery::crash_history& suspended);

    /// The table store has come back from an older copy: writes rows again that it lacks. Those of
    /// other instances follow later, if nobody else has written them.
    void begin_era(const std::function<bool(const std::string& key)>& has_row);

    /// Quarantine of a row of the fleet's table; nothing when it is over.
    std::optional<recovery::part_quarantine_notice>
    on_row(const std::string& key, const wire::part_quarantine_entry& entry);
    std::optional<recovery::quarantine_notice> on_row(const std::string& key,
                                                      const wire::request_quarantine_entry& entry);
    std::optional<recovery::crash_history> on_row(const std::string& key,
                                                  const wire::request_suspension_entry& entry);

private:
    /// Row to be written.
    struct pending_row
    {
        std::string m_value;
        std::chrono::milliseconds m_until{}; ///< End of the quarantine, since 1970.
        bool m_is_written = false;           ///< The store has the row.
        bool m_is_sent = false;              ///< A write is under way.
        bool m_is_own = false;               ///< This instance found the quarantine.
    };

    template <class Entry>
    void write_entry(const std::string& key, Entry entry, std::chrono::milliseconds duration);
    template <class Entry>
    std::optional<std::chrono::milliseconds> keep_entry(const std::string& key, const Entry& entry);
    void send(const std::string& key);
    void retry();
    void write_missing();

    table_store& m_store;
    std::map<std::string, pending_row> m_rows; ///< By key.
    net::timer m_retry_timer;
    net::timer m_rewrite_timer; ///< Until missing rows of other instances are written.
};

} // namespace tarragontrail::relay
