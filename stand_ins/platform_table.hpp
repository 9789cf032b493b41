#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragontrail::stand_ins {

/// Value of a row and the number of writes that it has had.
struct table_row
{
    std::string m_value;         ///< Value of the latest write.
    std::uint64_t m_version = 0; ///< Zero for a row that does not exist.
};

/// One conditional write.
struct table_write
{
    std::string m_table;                  ///< Table's name.
    std::string m_key;                    ///< Row's key.
    std::uint64_t m_expected_version = 0; ///< Version that the row must have; zero for absent.
    std::string m_value;                  ///< New value.
};

/// Outcome of conditional writes that take effect together or not at all.
struct table_outcome
{
    std::vector<std::uint64_t> m_versions;     ///< New versions; empty after a conflict.
    std::optional<std::size_t> m_failed_index; ///< First write whose expected version is wrong.
    table_row m_current;                       ///< Row at the failed index.
};

/// Rows under compare-and-set, in memory.
class platform_table
{
public:
    /// Row, or nothing when it does not exist.
    std::optional<table_row> get(const std::string& table, const std::string& key) const;

    /// Rows of a table whose key begins with `prefix`, by key.
    std::map<std::string, table_row> scan(const std::string& table,
                                          const std::string& prefix) const;

    /// Applies all writes, or none when an expected version is wrong.
    table_outcome apply(const std::vector<table_write>& writes);

private:
    std::map<std::string, std::map<std::string, table_row>> m_tables; ///< Rows by table and key.
};

} // namespace tarragontrail::stand_ins
