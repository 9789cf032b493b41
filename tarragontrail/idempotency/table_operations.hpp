#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragontrail::idempotency {

/// Version of a table row; zero stands for a row that does not exist.
using row_version = std::uint64_t;

/// One row's write inside a transaction; takes effect only at the expected version.
struct conditional_write
{
    std::string m_table;        ///< Table's name.
    std::string m_key;          ///< Row's key.
    row_version m_expected = 0; ///< Version that the row must have; zero creates it.
    std::string m_value;        ///< New value.
};

/// Asks the shell to read a row from the table service.
struct table_read
{
    std::uint64_t m_operation = 0; ///< Echoed with the result.
    std::string m_table;           ///< Table's name.
    std::string m_key;             ///< Row's key.
};

/// Asks the shell for one transaction: every write takes effect, or none.
struct table_write
{
    std::uint64_t m_operation = 0;           ///< Echoed with the result.
    std::vector<conditional_write> m_writes; ///< At most one for each row.
};

/// Result of a read.
struct read_result
{
    bool m_found = false;      ///< The row exists.
    std::string m_value;       ///< Value, when found.
    row_version m_version = 0; ///< Version, when found.
};

/// Result of a transaction that the table service answered.
struct write_result
{
    bool m_ok = false;                   ///< Every write took effect.
    std::vector<row_version> m_versions; ///< New versions in order, when it took effect.
    std::size_t m_failing = 0;           ///< Index of the first conflicting write otherwise.
    read_result m_current;               ///< Row found there.
};

} // namespace tarragontrail::idempotency
