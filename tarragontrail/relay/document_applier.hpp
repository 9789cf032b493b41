#pragma once

#include "tarragontrail/relay/platform_interface.hpp"
#include "tarragontrail/relay/relay_state.hpp"

namespace tarragontrail::relay {

/// Puts what operators and upstreams write in the store in force.
class document_applier
{
public:
    document_applier(relay_state& state, const document_reader& reader)
        : m_state(state), m_reader(reader)
    {}

    /// Rows of the operators' table changed.
    void on_operator_rows(const std::vector<table_row>& rows);

    /// Rows of the upstreams' table changed.
    void on_upstream_rows(const std::vector<table_row>& rows);

private:
    void apply_operator_row(const table_row& row);
    void apply_config(relay_config config);
    void apply_upstream(const upstream_record& record);
    void remove_upstream(core::upstream_id id);

    relay_state& m_state;            ///< What requests use.
    const document_reader& m_reader; ///< Reads documents.
};

} // namespace tarragontrail::relay
