#pragma once

#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

namespace tarragontrail::relay {

/// Applies the documents that operators and upstreams write to the table store.
class document_applier
{
public:
    document_applier(relay_state& state, const document_reader& reader)
        : m_state(state), m_reader(reader)
    {}

    /// Applies changed rows of the operators' table.
    void on_operator_rows(const std::vector<table_row>& rows);

    /// Applies changed rows of the upstreams' table.
    void on_upstream_rows(const std::vector<table_row>& rows);

private:
    void apply_operator_row(const table_row& row);
    void apply_config(relay_config config);
    void apply_upstream(const upstream_record& record);
    void remove_upstream(core::upstream_id id);

    relay_state& m_state;
    const document_reader& m_reader;
};

} // namespace tarragontrail::relay
