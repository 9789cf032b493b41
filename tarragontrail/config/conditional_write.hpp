#pragma once

#include "tarragontrail/config/platform_calls.hpp"
#include "tarragontrail/config/write_history.hpp"

#include <variant>

namespace tarragontrail::config {

/// Outcome of a conditional write.
enum class write_outcome
{
    pending,  ///< Not known yet; next() returns the call to make.
    ok,       ///< The write took effect.
    conflict, ///< Another write took effect instead.
    unknown,  ///< Not recorded in the row's write history any more.
};

/// One conditional write that finds out its outcome by reading the row back when the reply was
/// lost.
///
/// The write may be resent while the row still has the expected version, as at most one of the
/// copies can take effect.
class conditional_write
{
public:
    /// Parses the write history in a row's value.
    using history_reader = write_history (*)(const std::string& value);

    conditional_write(table_write write, std::uint64_t nonce, history_reader reader);

    /// Returns the call to make now.
    std::variant<table_read, table_write> next(operation_id operation);

    /// A reply to the write was received.
    write_outcome on_written(const write_reply& reply);

    /// A reply to the read was received.
    write_outcome on_read(const read_reply& reply);

    /// The call got no reply; next() reads the row back.
    void on_failed() noexcept { m_reading_back = true; }

    /// Whether the write was ever sent and so may have taken effect.
    bool was_sent() const noexcept { return m_was_sent; }

    /// Row version in the last reply.
    std::uint64_t last_version() const noexcept { return m_last_version; }

    /// Row value in the last reply; the written value after `ok`.
    const std::string& last_value() const noexcept { return m_last_value; }

private:
    /// Determines the outcome from the write history of the row.
    write_outcome resolve(std::uint64_t version, const std::string& value);

    table_write m_write;
    std::uint64_t m_nonce; ///< Identifies the write in the row's write history.
    history_reader m_reader;
    bool m_reading_back = false;      ///< Whether the next call is a read.
    bool m_was_sent = false;          ///< Whether the write was ever sent.
    std::uint64_t m_last_version = 0; ///< Row version in the last reply.
    std::string m_last_value;         ///< Row value in the last reply.
};

} // namespace tarragontrail::config
