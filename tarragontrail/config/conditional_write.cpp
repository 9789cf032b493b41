#include "tarragontrail/config/conditional_write.hpp"

#include <utility>

namespace tarragontrail::config {

conditional_write::conditional_write(table_write write, std::uint64_t nonce, history_reader reader)
    : m_write(std::move(write)), m_nonce(nonce), m_reader(reader)
{}

std::variant<table_read, table_write> conditional_write::next(operation_id operation)
{
    if (m_reading_back)
    {
        return table_read{operation, m_write.m_table, m_write.m_key, false};
    }
    m_was_sent = true;
    m_write.m_operation = operation;
    return m_write;
}

write_outcome conditional_write::on_written(const write_reply& reply)
{
    if (reply.m_ok)
    {
        m_last_version = reply.m_version;
        m_last_value = m_write.m_value;
        return write_outcome::ok;
    }
    return resolve(reply.m_version, reply.m_value);
}

write_outcome conditional_write::on_read(const read_reply& reply)
{
    const std::uint64_t version = reply.m_found ? reply.m_version : 0;
    if (version == m_write.m_expected_version)
    {
        // Not written yet, although an earlier copy may still arrive: resend the same write.
        m_reading_back = false;
        return write_outcome::pending;
    }
    return resolve(version, reply.m_value);
}

write_outcome conditional_write::resolve(std::uint64_t version, const std::string& value)
{
    m_last_version = version;
    m_last_value = value;
    if (version == 0)
    {
        return write_outcome::unknown;
    }
    const std::optional<std::uint64_t> writer =
        m_reader(value).nonce_of_replacement(m_write.m_expected_version);
    if (!writer)
    {
        return write_outcome::unknown;
    }
    return *writer == m_nonce ? write_outcome::ok : write_outcome::conflict;
}

} // namespace tarragontrail::config
