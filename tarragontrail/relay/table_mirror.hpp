#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Row of a table in the platform's store.
struct table_row
{
    std::string m_key;           ///< Key.
    std::string m_value;         ///< Value; empty for a deleted row.
    std::uint64_t m_version = 0; ///< Version of its last change.
    bool m_deleted = false;      ///< The row is gone.

    bool operator==(const table_row&) const = default;
};

/// Copy of one table, filled from the store or from another instance's copy.
///
/// Rows never go back to an older version, in whatever order news arrives.
class table_mirror
{
public:
    /// Takes over changed rows; returns those that are news.
    std::vector<table_row> apply(const std::vector<table_row>& rows);

    /// Takes over a whole table as of a version; rows that it lacks are deleted.
    std::vector<table_row> replace(const std::vector<table_row>& rows, std::uint64_t version);

    /// Newest version of any row, deleted ones included.
    std::uint64_t newest_version() const noexcept { return m_newest_version; }

    /// Rows that exist.
    std::vector<table_row> rows() const;

    /// The table was read at least once.
    bool is_complete() const noexcept { return m_complete; }

private:
    bool apply_row(const table_row& row);

    std::map<std::string, table_row> m_rows; ///< By key, deleted ones included.
    std::uint64_t m_newest_version = 0;      ///< Newest version.
    bool m_complete = false;                 ///< A whole table was taken over.
};

} // namespace tarragontrail::relay
