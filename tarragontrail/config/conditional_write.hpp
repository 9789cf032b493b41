#pragma once

#include "tarragontrail/config/platform_calls.hpp"
#include "tarragontrail/config/write_history.hpp"

#include <variant>

namespace tarragontrail::config {

/// Outcome of a conditional write.
enum class write_outcome
{
    pending,  ///< Call `next()` for the call to make.
    ok,       ///< The write took effect.
    conflict, ///< Another write took effect instead.
    unknown,  ///< The row has moved on too far to tell.
};

/// One conditional write whose lost reply is settled by reading the row back.
///
/// The same write may be sent again while the row still has the expected version, as at most one
/// of the copies can take effect.
class conditional_write
{
public:
    /// Reads the trail out of a row's value.
    using history_reader = write_history (*)(const std::string& value);

    conditional_write(table_write write, std::uint64_t nonce, history_reader reader);

    /// Call to make now, under a new operation id.
    std::variant<table_read, table_write> next(operation_id operation);

    /// The write was answered.
    write_outcome on_written(const write_reply& reply);

    /// The read was answered.
    write_outcome on_read(const read_reply& reply);

    /// The call got no reply; the row is read back next.
    void on_failed() noexcept { m_reading_back = true; }

    /// Whether the write was ever sent, so that it may have taken effect.
    bool was_sent() const noexcept { return m_was_sent; }

    /// Row version that the last reply showed.
    std::uint64_t last_version() const noexcept { return m_last_version; }

    /// Row value that the last reply showed; the own value after `ok`.
    const std::string& last_value() const noexcept { return m_last_value; }

private:
    /// Judges the row as found.
    write_outcome resolve(std::uint64_t version, const std::string& value);

    table_write m_write;              ///< The write.
    std::uint64_t m_nonce;            ///< Its mark in the row's trail.
    history_reader m_reader;          ///< Reads trails.
    bool m_reading_back = false;      ///< Whether the next call is a read.
    bool m_was_sent = false;          ///< Whether the write was ever sent.
    std::uint64_t m_last_version = 0; ///< Version last seen.
    std::string m_last_value;         ///< Value last seen.
};

} // namespace tarragontrail::config
