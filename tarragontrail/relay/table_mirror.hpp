#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Row of a table in the table store.
struct table_row
{
    std::string m_key;
    std::string m_value;         ///< Empty for a deleted row.
    std::uint64_t m_version = 0; ///< Version of its last change.
    bool m_deleted = false;

    bool operator==(const table_row&) const = default;
};

/// Copy of one table, filled from the table store or from another instance's copy.
///
/// A row never returns to an older version, regardless of the order in which changes arrive.
class table_mirror
{
public:
    /// Applies changed rows; returns those that changed the copy.
    std::vector<table_row> apply(const std::vector<table_row>& rows);

    /// Applies a whole table as of a version, and deletes older rows that it lacks; returns the
    /// rows that changed the copy.
    std::vector<table_row> replace(const std::vector<table_row>& rows, std::uint64_t version);

    /// Newest version of any row, deleted ones included.
    std::uint64_t newest_version() const noexcept { return m_newest_version; }

    /// Rows not applied as the copy had a newer version of them.
    std::uint64_t dropped_rows() const noexcept { return m_dropped_rows; }

    /// Rows that are not deleted.
    std::vector<table_row> rows() const;

    /// True once a whole table was applied.
    bool is_complete() const noexcept { return m_complete; }

private:
    bool apply_row(const table_row& row);

    std::map<std::string, table_row> m_rows; ///< By key, deleted ones included.
    std::uint64_t m_newest_version = 0;
    std::uint64_t m_dropped_rows = 0;
    bool m_complete = false;
};

} // namespace tarragontrail::relay
