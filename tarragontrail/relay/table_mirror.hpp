#pragma once

#include "tarragontrail/core/store_version.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Row of a table in the table store.
struct table_row
{
    std::string m_key;
    std::string m_value;           ///< Empty for a deleted row.
    core::store_version m_version; ///< Version of its last change.
    bool m_deleted = false;

    bool operator==(const table_row&) const = default;
};

/// How far a copy of a table reaches.
struct table_position
{
    core::store_version m_newest_row; ///< Newest version of a row.
    /// No later change is known; rows that were deleted before the table was read are not seen.
    core::store_version m_newest;
    core::store_version m_complete; ///< The copy has every change up to this version.

    bool operator==(const table_position&) const = default;
};

/// Part of a table's history: every change after one version and up to another.
struct change_span
{
    core::store_version m_follows;
    core::store_version m_up_to; ///< That of no transaction if changes may be missing.

    bool operator==(const change_span&) const = default;
};

/// Copy of one table, filled from the table store or from another instance's copy.
///
/// A row never returns to an older version, regardless of the order in which changes arrive. A
/// whole table of a newer era takes the place of all rows of earlier eras.
class table_mirror
{
public:
    /// Applies changed rows; returns those that changed the copy. A copy that has all changes
    /// before the span has those of the span as well, then.
    std::vector<table_row> apply(const std::vector<table_row>& rows, const change_span& span = {});

    /// Applies a whole table as of a version, and deletes older rows that it lacks; returns the
    /// rows that changed the copy.
    std::vector<table_row> replace(const std::vector<table_row>& rows,
                                   const core::store_version& version);

    /// Newest version of any row, deleted ones included, in the era of the last whole table. Rows
    /// of a newer era do not count: others of that era may be missing.
    const core::store_version& newest_version() const noexcept { return m_newest_version; }

    /// How far the copy reaches. The newest row may be newer than the changes known to be complete:
    /// rows come from several sources, and what one of them left out is not seen.
    table_position position() const noexcept
    {
        return {m_newest_row_version, m_newest_version, m_complete_version};
    }

    /// Whether another copy has a change that this one may lack.
    bool lacks(const table_position& other) const noexcept
    {
        return !m_complete || other.m_newest > m_complete_version;
    }

    /// Whether another copy has a row that this one may lack.
    bool lacks_row(const table_position& other) const noexcept
    {
        return !m_complete || other.m_newest_row > m_complete_version;
    }

    /// Another copy reaches this far. Where this one lacks no row of it, it reaches as far.
    void learn_position(const table_position& other);

    /// Counts changes of rows.
    std::uint64_t revision() const noexcept { return m_revision; }

    /// Era of the last whole table.
    std::uint64_t era() const noexcept { return m_newest_version.m_era; }

    /// Row with a key; null when there is none or it is deleted.
    const table_row* find(const std::string& key) const;

    /// Rows not applied as the copy had a newer version of them.
    std::uint64_t dropped_rows() const noexcept { return m_dropped_rows; }

    /// Rows that are not deleted.
    std::vector<table_row> rows() const;

    /// True once a whole table was applied.
    bool is_complete() const noexcept { return m_complete; }

private:
    bool apply_row(const table_row& row);
    void begin_era(const core::store_version& version);

    std::map<std::string, table_row> m_rows; ///< By key, deleted ones included.
    core::store_version m_newest_row_version;
    core::store_version m_newest_version;
    core::store_version m_complete_version; ///< Every change up to this version was applied.
    std::uint64_t m_revision = 0;
    std::uint64_t m_dropped_rows = 0;
    bool m_complete = false;
};

} // namespace tarragontrail::relay
