#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::idempotency {

/// Version of a table row; zero means that the row does not exist.
using row_version = std::uint64_t;

/// Write of one row in a transaction; applies only if the row has the expected version.
struct conditional_write
{
    std::string m_table;
    std::string m_key;
    row_version m_expected = 0; ///< Version that the row must have; zero creates the row.
    std::string m_value;
};

/// Action: read a row from the table service.
struct table_read
{
    std::uint64_t m_operation = 0; ///< Echoed with the result.
    std::string m_table;
    std::string m_key;
};

/// Action: write a transaction to the table service; either all writes take effect or none.
struct table_write
{
    std::uint64_t m_operation = 0;           ///< Echoed with the result.
    std::vector<conditional_write> m_writes; ///< At most one per row.
};

/// Result of a read.
struct read_result
{
    bool m_found = false; ///< Whether the row exists.
    std::string m_value;
    row_version m_version = 0; ///< Zero when the row was not found.
};

/// Result of a transaction that the table service answered.
struct write_result
{
    bool m_ok = false;                   ///< Whether all writes took effect.
    std::vector<row_version> m_versions; ///< New versions in the order of the writes, when m_ok.
    std::size_t m_failing = 0;           ///< Index of the first conflicting write, when not m_ok.
    read_result m_current;               ///< Current row of that write.
};

} // namespace tarragontrail::idempotency
