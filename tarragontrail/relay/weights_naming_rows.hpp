#pragma once

#include "tarragontrail/relay/relay_state.hpp"
#include "tarragontrail/relay/row_publisher.hpp"
#include "tarragontrail/wire/generated_messages.hpp"

#include <map>
#include <set>
#include <string>

namespace tarragontrail::relay {

/// Settings of weights_naming_rows.
struct weights_naming_rows_settings
{
    /// An instance that is not the first one writes what nobody has written for this long.
    std::chrono::milliseconds m_takeover_delay{1'500};
    /// Delay after a write that failed.
    std::chrono::milliseconds m_retry_delay{400};
    /// Versions of a model that a row names.
    std::size_t m_max_namings = 8;
};

/// Keeps in the platform's table store when operators named the versions of each model's weights:
/// the operators' rows have no time, and whoever reads them later takes old weights for new.
class weights_naming_rows
{
public:
    /// Prefix of the keys in the fleet's table; the model's name follows.
    static constexpr std::string_view key_prefix = "named-weights/";

    weights_naming_rows(relay_state& state, table_store& store, row_publisher publish,
                        weights_naming_rows_settings settings = {});

    /// A row was read.
    void on_row(const wire::weights_naming_entry& entry, core::time_point now);

    /// Writes the times of versions that no row has; `is_writer` tells that this instance is the
    /// first one to do so.
    void check(bool is_writer, const table_mirror& fleet, core::time_point now);

    /// The table store has come back from an older copy: no row is known.
    void begin_era() { m_kept.clear(); }

private:
    void check_model(const std::string& model, bool is_writer, const table_mirror& fleet,
                     core::time_point now);
    void write(const std::string& model, const table_mirror& fleet, core::time_point now);

    weights_naming_rows_settings m_settings;
    relay_state& m_state;
    table_store& m_store;
    row_publisher m_publish;
    std::map<std::string, placement::weights_version> m_kept; ///< Newest in the row, by model.
    std::map<std::string, core::time_point> m_due_since;      ///< By model, while a write is due.
    std::set<std::string> m_writing;                          ///< Models with a write under way.
    core::time_point m_retry_at = core::time_point::min();
};

} // namespace tarragontrail::relay
