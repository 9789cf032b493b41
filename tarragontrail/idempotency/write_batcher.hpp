#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/idempotency/call_types.hpp"
#include "tarragontrail/idempotency/table_operations.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tarragontrail::idempotency {

/// What became of one submitted write.
struct write_outcome
{
    /// Kinds of outcome.
    enum class kind
    {
        written,  ///< It took effect.
        conflict, ///< The row had another version.
        unknown,  ///< No reply: it may have taken effect, or may yet.
    };

    std::uint64_t m_write_id = 0; ///< Ticket that the write was submitted under.
    kind m_kind{};                ///< Kind.
    row_version m_version = 0;    ///< New version, when written.
    read_result m_current;        ///< Row found, on a conflict.
};

/// Groups conditional writes of different rows into transactions.
///
/// A conflict of one row takes only that row out: the others are sent again at once.
class write_batcher
{
public:
    write_batcher(std::size_t max_batch, std::size_t max_transactions);

    /// Queues a write; it is sent at `due`, or earlier with others.
    void submit(std::uint64_t write_id, conditional_write write, core::time_point due);

    /// Removes a write that was never sent; returns false when it was sent already.
    bool cancel(std::uint64_t write_id);

    /// Sends what is due, as far as the limit of transactions allows.
    void flush(core::time_point now, std::uint64_t& next_operation,
               std::vector<call_action>& actions);

    /// A transaction was answered; outcomes are appended. Unknown operations are ignored.
    void on_written(std::uint64_t operation, const write_result& result, core::time_point now,
                    std::vector<write_outcome>& outcomes);

    /// No reply came to a transaction; outcomes are appended. Unknown operations are ignored.
    void on_failed(std::uint64_t operation, std::vector<write_outcome>& outcomes);

    /// When flush is wanted next.
    std::optional<core::time_point> next_deadline() const;

private:
    /// Write that waits for its transaction.
    struct queued_write
    {
        std::uint64_t m_write_id = 0; ///< Ticket.
        conditional_write m_write;    ///< Write.
        core::time_point m_due{};     ///< When it is sent at the latest.
    };

    std::size_t m_max_batch;                                   ///< Rows in one transaction.
    std::size_t m_max_transactions;                            ///< Transactions in flight.
    core::time_point m_earliest_due = core::time_point::max(); ///< No write is due before this.
    std::deque<queued_write> m_queue; ///< Writes not yet sent, oldest first.
    std::unordered_map<std::uint64_t, std::vector<queued_write>> m_in_flight; ///< By operation.
};

} // namespace tarragontrail::idempotency
