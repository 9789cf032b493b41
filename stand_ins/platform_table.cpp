#include "stand_ins/platform_table.hpp"

namespace tarragontrail::stand_ins {

std::optional<table_row> platform_table::get(const std::string& table, const std::string& key) const
{
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end())
    {
        return std::nullopt;
    }
    const auto row = rows->second.find(key);
    return row == rows->second.end() ? std::nullopt : std::optional(row->second);
}

std::map<std::string, table_row> platform_table::scan(const std::string& table,
                                                      const std::string& prefix) const
{
    std::map<std::string, table_row> found;
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end())
    {
        return found;
    }
    for (auto row = rows->second.lower_bound(prefix); row != rows->second.end(); ++row)
    {
        if (!row->first.starts_with(prefix))
        {
            break;
        }
        found.insert(*row);
    }
    return found;
}

table_outcome platform_table::apply(const std::vector<table_write>& writes)
{
    table_outcome outcome;
    for (std::size_t i = 0; i < writes.size(); ++i)
    {
        const table_row current = get(writes[i].m_table, writes[i].m_key).value_or(table_row());
        if (current.m_version == writes[i].m_expected_version)
        {
            continue;
        }
        outcome.m_failed_index = i;
        outcome.m_current = current;
        return outcome;
    }
    for (const table_write& write : writes)
    {
        table_row& row = m_tables[write.m_table][write.m_key];
        row.m_value = write.m_value;
        outcome.m_versions.push_back(++row.m_version);
    }
    return outcome;
}

} // namespace tarragontrail::stand_ins
