#pragma once

#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

namespace tarragontrail::relay {

/// Settings of document_applier.
struct document_applier_settings
{
    /// A row of an upstream that contradicts what was known before the table store came back from
    /// an older copy is believed after this time: rows of silent upstreams are deleted sooner.
    std::chrono::milliseconds m_doubt_limit{5'000};
};

/// Applies the documents that operators and upstreams write to the table store.
///
/// A table store that comes back from an older copy has rows that say less than is known: that an
/// upstream serves which has left since, or that an earlier start of it runs. Such a row is doubted
/// until the upstream has written a newer one. Operators' documents have versions of their own, by
/// which they are applied regardless of the era of their row.
class document_applier
{
public:
    document_applier(relay_state& state, const document_reader& reader,
                     document_applier_settings settings = {})
        : m_state(state), m_reader(reader), m_settings(settings)
    {}

    /// Applies changed rows of the operators' table.
    void on_operator_rows(const std::vector<table_row>& rows, row_source source);

    /// Operators' rows in force that a copy of their table lacks or has in an older form.
    std::vector<table_row> rows_missing_from(const table_mirror& operators) const;

    /// Applies changed rows of the upstreams' table.
    void on_upstream_rows(const std::vector<table_row>& rows);

    /// The table store has come back from an older copy of the upstreams' table.
    void on_upstreams_restored(core::time_point now);

    /// Believes doubted rows that the table store has kept for the doubt limit.
    void on_timer(core::time_point now);

private:
    /// Row of an upstream that may be older than what is known of it.
    struct doubted_row
    {
        upstream_record m_record;
        std::uint64_t m_era = 0;     ///< Era of the table store that has the row.
        std::uint64_t m_reports = 0; ///< The upstream has written more rows than these since.
        core::time_point m_until;    ///< The row is believed then.
    };

    void apply_operator_row(const table_row& row, row_source source);
    void log_failed_row(const char* reader, const table_row& row, const std::exception& failure);
    bool apply_config(relay_config config, const configuration_origin& origin);
    void on_upstream_row(const upstream_record& record, std::uint64_t era);
    bool is_doubted(const upstream& known, const upstream_record& record, std::uint64_t era,
                    core::time_point now);
    void apply_upstream(const upstream_record& record, std::uint64_t era);
    void withdraw_upstream(core::upstream_id id, std::uint64_t era);
    void remove_upstream(core::upstream_id id, std::uint64_t era);

    relay_state& m_state;
    const document_reader& m_reader;
    document_applier_settings m_settings;
    std::map<std::string, table_row> m_rows_in_force; ///< Operators' rows, by key.
    bool m_has_table = false;                         ///< A whole operators' table was applied.
    std::map<core::upstream_id, doubted_row> m_doubted_rows;
};

} // namespace tarragontrail::relay
