#pragma once

#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Identifies one call to the platform's services within the core that made it.
enum class operation_id : std::uint64_t
{
};

/// Action: read a row of the table service, or only its version.
struct table_read
{
    operation_id m_operation{};  ///< Echoed in the reply.
    std::string m_table;         ///< Table's name.
    std::string m_key;           ///< Row's key.
    bool m_version_only = false; ///< Ask for the version without the value.
};

/// Action: replace a row if its version is still the expected one.
struct table_write
{
    operation_id m_operation{};           ///< Echoed in the reply.
    std::string m_table;                  ///< Table's name.
    std::string m_key;                    ///< Row's key.
    std::uint64_t m_expected_version = 0; ///< Version to replace; zero creates an absent row.
    std::string m_value;                  ///< New value.
};

/// Event: a read was answered.
struct read_reply
{
    operation_id m_operation{};  ///< Operation of the read.
    bool m_found = false;        ///< Whether the row exists.
    std::string m_value;         ///< Value; empty when only the version was asked for.
    std::uint64_t m_version = 0; ///< Row's version; zero when it does not exist.
};

/// Event: a conditional write was answered.
struct write_reply
{
    operation_id m_operation{};  ///< Operation of the write.
    bool m_ok = false;           ///< Whether the write took effect; false means a conflict.
    std::uint64_t m_version = 0; ///< Row's version after the call.
    std::string m_value;         ///< The row's value on a conflict.
};

/// Action: store an object under a name derived from its content.
struct object_put
{
    operation_id m_operation{}; ///< Echoed in the reply.
    std::string m_name;         ///< Object's name.
    std::string m_bytes;        ///< Content.
};

/// Action: fetch an object from the object store.
struct object_get
{
    operation_id m_operation{}; ///< Echoed in the reply.
    std::string m_name;         ///< Object's name.
};

} // namespace tarragontrail::config
