#include "tarragontrail/idempotency/write_batcher.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragontrail::idempotency {

write_batcher::write_batcher(std::size_t max_batch, std::size_t max_transactions)
    : m_max_batch(std::max<std::size_t>(max_batch, 1)),
      m_max_transactions(std::max<std::size_t>(max_transactions, 1))
{}

void write_batcher::submit(std::uint64_t write_id, conditional_write write, core::time_point due)
{
    m_queue.push_back({write_id, std::move(write), due});
    m_earliest_due = std::min(m_earliest_due, due);
}

bool write_batcher::cancel(std::uint64_t write_id)
{
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [&](const queued_write& w) {
        return w.m_write_id == write_id;
    });
    if (found == m_queue.end())
    {
        return false;
    }
    m_queue.erase(found);
    return true;
}

void write_batcher::flush(core::time_point now, std::uint64_t& next_operation,
                          std::vector<call_action>& actions)
{
    while (!m_queue.empty() && m_in_flight.size() < m_max_transactions)
    {
        if (m_earliest_due > now && m_queue.size() < m_max_batch)
        {
            return;
        }

        // The oldest writes are sent, whether due or not: additional rows do not add a transaction.
        const std::size_t count = std::min(m_queue.size(), m_max_batch);
        const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
        std::vector<queued_write> batch(std::make_move_iterator(m_queue.begin()),
                                        std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);

        table_write transaction;
        transaction.m_operation = next_operation++;
        transaction.m_writes.reserve(count);
        for (const queued_write& queued : batch)
        {
            transaction.m_writes.push_back(queued.m_write);
        }
        m_in_flight.emplace(transaction.m_operation, std::move(batch));
        actions.emplace_back(std::move(transaction));

        m_earliest_due = core::time_point::max();
        for (const queued_write& queued : m_queue)
        {
            m_earliest_due = std::min(m_earliest_due, queued.m_due);
        }
    }
}

void write_batcher::on_written(std::uint64_t operation, const write_result& result,
                               core::time_point now, std::vector<write_outcome>& outcomes)
{
    const auto found = m_in_flight.find(operation);
    if (found == m_in_flight.end())
    {
        return;
    }
    std::vector<queued_write> batch = std::move(found->second);
    m_in_flight.erase(found);

    if (result.m_ok)
    {
        for (std::size_t i = 0; i < batch.size(); ++i)
        {
            outcomes.push_back({batch[i].m_write_id, write_outcome::kind::written,
                                result.m_versions.at(i), read_result{}});
        }
        return;
    }

    // Nothing took effect; all writes but the conflicting one are sent again at once.
    outcomes.push_back({batch.at(result.m_failing).m_write_id, write_outcome::kind::conflict, 0,
                        result.m_current});
    batch.erase(batch.begin() + static_cast<std::ptrdiff_t>(result.m_failing));
    for (queued_write& queued : batch)
    {
        queued.m_due = now;
        m_earliest_due = now;
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(batch.begin()),
                   std::make_move_iterator(batch.end()));
}

void write_batcher::on_failed(std::uint64_t operation, std::vector<write_outcome>& outcomes)
{
    const auto found = m_in_flight.find(operation);
    if (found == m_in_flight.end())
    {
        return;
    }
    for (const queued_write& queued : found->second)
    {
        outcomes.push_back(
            {queued.m_write_id, write_outcome::kind::unknown, row_version{0}, read_result{}});
    }
    m_in_flight.erase(found);
}

std::optional<core::time_point> write_batcher::next_deadline() const
{
    if (m_queue.empty() || m_in_flight.size() >= m_max_transactions)
    {
        return std::nullopt;
    }
    return m_earliest_due;
}

} // namespace tarragontrail::idempotency
