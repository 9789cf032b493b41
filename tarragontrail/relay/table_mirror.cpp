#include "tarragontrail/relay/table_mirror.hpp"

#include <algorithm>
#include <set>

namespace tarragontrail::relay {

std::vector<table_row> table_mirror::apply(const std::vector<table_row>& rows,
                                           const change_span& span)
{
    std::vector<table_row> changes;
    for (const table_row& row : rows)
    {
        if (apply_row(row))
        {
            changes.push_back(row);
        }
    }
    if (m_complete && span.m_up_to.m_era == era() && span.m_follows <= m_complete_version)
    {
        m_complete_version = std::max(m_complete_version, span.m_up_to);
    }
    return changes;
}

void table_mirror::learn_position(const table_position& other)
{
    if (!lacks(other) && other.m_complete.m_era == era())
    {
        m_complete_version = std::max(m_complete_version, other.m_complete);
    }
}

std::vector<table_row> table_mirror::replace(const std::vector<table_row>& rows,
                                             const core::store_version& version)
{
    if (m_complete && version.m_era < era())
    {
        m_dropped_rows += rows.size();
        return {};
    }
    m_complete = true;
    if (version.m_era > era())
    {
        begin_era(version);
    }
    std::vector<table_row> changes = apply(rows);
    std::set<std::string> present;
    for (const table_row& row : rows)
    {
        present.insert(row.m_key);
    }
    std::vector<table_row> missing;
    for (const auto& [key, known] : m_rows)
    {
        if (!known.m_deleted && known.m_version <= version && !present.contains(key))
        {
            missing.push_back(table_row{key, {}, version, true});
        }
    }
    const std::vector<table_row> deleted = apply(missing);
    changes.insert(changes.end(), deleted.begin(), deleted.end());
    m_complete_version = std::max(m_complete_version, version);
    // Rows that were deleted before are not among those of the table.
    m_newest_version = std::max(m_newest_version, version);
    return changes;
}

std::vector<table_row> table_mirror::rows() const
{
    std::vector<table_row> present;
    for (const auto& [key, row] : m_rows)
    {
        if (!row.m_deleted)
        {
            present.push_back(row);
        }
    }
    return present;
}

const table_row* table_mirror::find(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() || found->second.m_deleted ? nullptr : &found->second;
}

/// Rows of this era that came ahead of its whole table stay; deleted rows of earlier eras are
/// forgotten.
void table_mirror::begin_era(const core::store_version& version)
{
    std::erase_if(m_rows, [&version](const auto& entry) {
        return entry.second.m_deleted && entry.second.m_version.m_era < version.m_era;
    });
    m_newest_row_version = {version.m_era, 0};
    for (const auto& [key, row] : m_rows)
    {
        if (row.m_version.m_era == version.m_era)
        {
            m_newest_row_version = std::max(m_newest_row_version, row.m_version);
        }
    }
    m_newest_version = m_newest_row_version;
}

bool table_mirror::apply_row(const table_row& row)
{
    if (row.m_version.m_era < era())
    {
        ++m_dropped_rows;
        return false;
    }
    if (row.m_version.m_era == era())
    {
        m_newest_row_version = std::max(m_newest_row_version, row.m_version);
        m_newest_version = std::max(m_newest_version, row.m_version);
    }
    const auto found = m_rows.find(row.m_key);
    if (m_complete && row.m_version <= m_complete_version)
    {
        // The copy has this change, or a later one of the row, which may be its deletion.
        const bool is_known = found != m_rows.end() && found->second.m_version == row.m_version;
        m_dropped_rows += is_known ? 0 : 1;
        return false;
    }
    if (found == m_rows.end())
    {
        m_rows.emplace(row.m_key, row);
        ++m_revision;
        return !row.m_deleted;
    }
    table_row& known = found->second;
    if (row.m_version < known.m_version)
    {
        ++m_dropped_rows;
        return false;
    }
    const bool changed = known.m_deleted != row.m_deleted || known.m_value != row.m_value;
    known = row;
    ++m_revision;
    return changed;
}

} // namespace tarragontrail::relay
