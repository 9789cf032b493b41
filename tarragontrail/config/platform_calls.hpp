#pragma once

#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Identifies one call to the platform's services; unique within the decision core that made it.
enum class operation_id : std::uint64_t
{
};

/// Action: read a row of the table service or only its version.
struct table_read
{
    operation_id m_operation{};  ///< Echoed in the reply.
    std::string m_table;         ///< Name of the table.
    std::string m_key;           ///< Key of the row.
    bool m_version_only = false; ///< Request the version without the value.
};

/// Action: replace a row of the table service if it still has the expected version.
struct table_write
{
    operation_id m_operation{};           ///< Echoed in the reply.
    std::string m_table;                  ///< Name of the table.
    std::string m_key;                    ///< Key of the row.
    std::uint64_t m_expected_version = 0; ///< Version to replace; zero to create the row.
    std::string m_value;                  ///< New value.
};

/// Event: reply to table_read.
struct read_reply
{
    operation_id m_operation{};  ///< Operation of the read.
    bool m_found = false;        ///< Whether the row exists.
    std::string m_value;         ///< Value; empty if only the version was requested.
    std::uint64_t m_version = 0; ///< Version of the row; zero if it does not exist.
};

/// Event: reply to table_write.
struct write_reply
{
    operation_id m_operation{};  ///< Operation of the write.
    bool m_ok = false;           ///< Whether the write took effect; false means a conflict.
    std::uint64_t m_version = 0; ///< Version of the row after the call.
    std::string m_value;         ///< Current value of the row on a conflict.
};

/// Action: store an object in the object store.
struct object_put
{
    operation_id m_operation{}; ///< Echoed in the reply.
    std::string m_name;         ///< Name of the object.
    std::string m_bytes;        ///< Content of the object.
};

/// Action: read an object from the object store.
struct object_get
{
    operation_id m_operation{}; ///< Echoed in the reply.
    std::string m_name;         ///< Name of the object.
};

} // namespace tarragontrail::config
