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

/// Outcome of a submitted write.
struct write_outcome
{
    /// Kind of an outcome.
    enum class kind
    {
        written,  ///< The write took effect.
        conflict, ///< The row had another version.
        unknown,  ///< No reply arrived; the write may have taken effect or still may.
    };

    std::uint64_t m_write_id = 0; ///< Id with which the write was submitted.
    kind m_kind{};
    row_version m_version = 0; ///< New version of the row, when written.
    read_result m_current;     ///< Current row, on a conflict.
};

/// Groups conditional writes of different rows into transactions.
///
/// A conflict removes only the write of that row; the other writes are sent again at once.
class write_batcher
{
public:
    write_batcher(std::size_t max_batch, std::size_t max_transactions);

    /// Queues a write; it is sent at `due`, or earlier together with other writes.
    void submit(std::uint64_t write_id, conditional_write write, core::time_point due);

    /// Removes a write that was not sent yet; returns false when it was sent already.
    bool cancel(std::uint64_t write_id);

    /// Sends the due writes, up to the limit of transactions in flight.
    void flush(core::time_point now, std::uint64_t& next_operation,
               std::vector<call_action>& actions);

    /// A transaction was answered. Appends the outcomes of its writes; ignores unknown operations.
    void on_written(std::uint64_t operation, const write_result& result, core::time_point now,
                    std::vector<write_outcome>& outcomes);

    /// A transaction was not answered. Appends the outcomes of its writes; ignores unknown
    /// operations.
    void on_failed(std::uint64_t operation, std::vector<write_outcome>& outcomes);

    /// Time at which flush() must be called next.
    std::optional<core::time_point> next_deadline() const;

private:
    /// Write that waits to be sent.
    struct queued_write
    {
        std::uint64_t m_write_id = 0;
        conditional_write m_write;
        core::time_point m_due{}; ///< Latest time at which it should be sent.
    };

    std::size_t m_max_batch;        ///< Rows per transaction.
    std::size_t m_max_transactions; ///< Transactions in flight.
    /// No queued write is due before this time.
    core::time_point m_earliest_due = core::time_point::max();
    std::deque<queued_write> m_queue; ///< Writes not yet sent, oldest first.
    /// Writes of each transaction, by operation.
    std::unordered_map<std::uint64_t, std::vector<queued_write>> m_in_flight;
};

} // namespace tarragontrail::idempotency
