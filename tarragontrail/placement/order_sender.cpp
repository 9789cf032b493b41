#include "tarragontrail/placement/order_sender.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace tarragontrail::placement {

namespace {

/// Index of the lease on the engine; the leases of the load slots follow.
constexpr std::size_t engine_lease = 0;

row_lease_settings lease_settings(const order_sender_settings& settings, bool checks_fence)
{
    // An engine that refuses old fencing numbers needs no delay between two holders.
    using std::chrono::milliseconds;
    return {settings.m_duration, checks_fence ? milliseconds::zero() : settings.m_safety_margin,
            checks_fence ? milliseconds::zero() : settings.m_max_order_duration,
            settings.m_poll_interval, settings.m_retry_delay};
}

std::optional<core::time_point> earlier(std::optional<core::time_point> first,
                                        std::optional<core::time_point> second)
{
    if (!first || !second)
    {
        return first ? first : second;
    }
    return std::min(*first, *second);
}

} // namespace

order_sender::order_sender(order_sender_settings settings, core::upstream_id upstream,
                           bool checks_fence, core::instance_id self, core::incarnation started,
                           std::uint64_t seed)
    : m_settings(std::move(settings)), m_upstream(upstream),
      m_lease(lease_settings(m_settings, checks_fence), m_settings.m_table,
              fmt::format("engine-{:016x}", core::value_of(upstream)), self, started, seed),
      m_slot(lease_settings(m_settings, false), m_settings.m_table, self, started, seed)
{}

void order_sender::submit(const engine_order& order, core::time_point now)
{
    m_queue.push_back(order);
    advance(now);
}

void order_sender::cancel(core::time_point now)
{
    const bool keeps_front = m_step == step::ordered || m_front_unanswered;
    const std::size_t kept = keeps_front ? 1 : 0;
    m_queue.resize(std::min(m_queue.size(), kept));
    advance(now);
}

void order_sender::on_table_read(std::uint64_t operation, const idempotency::read_result& result,
                                 core::time_point now)
{
    const std::optional<std::size_t> lease = take_lease_index(operation);
    if (!lease)
    {
        return;
    }
    if (*lease == engine_lease)
    {
        m_lease.on_read(result, now);
    }
    else
    {
        m_slot.on_read(*lease - 1, result, now);
    }
    advance(now);
}

void order_sender::on_table_written(std::uint64_t operation,
                                    const idempotency::write_result& result, core::time_point now)
{
    const std::optional<std::size_t> lease = take_lease_index(operation);
    if (!lease)
    {
        return;
    }
    if (*lease == engine_lease)
    {
        m_lease.on_written(result, now);
    }
    else
    {
        m_slot.on_written(*lease - 1, result, now);
    }
    advance(now);
}

void order_sender::on_table_failed(std::uint64_t operation, core::time_point now)
{
    const std::optional<std::size_t> lease = take_lease_index(operation);
    if (!lease)
    {
        return;
    }
    if (*lease == engine_lease)
    {
        m_lease.on_failed(now);
    }
    else
    {
        m_slot.on_failed(*lease - 1, now);
    }
    advance(now);
}

void order_sender::on_order_answered(std::uint64_t number, bool accepted, core::time_point now)
{
    if (!is_front(number))
    {
        return;
    }
    m_step = step::unsynced;
    finish_front(accepted ? order_result::done : order_result::rejected, now);
    advance(now);
}

void order_sender::on_fence_refused(std::uint64_t number, core::time_point now)
{
    if (!is_front(number))
    {
        return;
    }
    m_step = step::unsynced;
    m_lease.revoke(now);
    advance(now);
}

void order_sender::on_order_not_sent(std::uint64_t number, core::time_point now)
{
    if (!is_front(number))
    {
        return;
    }
    m_step = step::unsynced;
    advance(now);
}

void order_sender::on_order_lost(std::uint64_t number, core::time_point now)
{
    if (!is_front(number))
    {
        return;
    }
    m_step = step::unsynced;
    m_front_unanswered = true;
    m_earliest_read = now + m_settings.m_max_order_duration;
    advance(now);
}

void order_sender::on_engine_state(std::uint64_t number, const engine_state& state,
                                   core::time_point now)
{
    if (m_step != step::reading || number != m_read_number)
    {
        return;
    }

    // A state read under an earlier lease may be out of date under the current one.
    m_step =
        m_lease.is_held(now) && m_lease.fence() == m_synced_fence ? step::ready : step::unsynced;
    if (m_step == step::ready)
    {
        m_state = state;
        m_actions.emplace_back(engine_observed{m_upstream, state});
        if (std::exchange(m_front_unanswered, false))
        {
            finish_front(is_satisfied(m_queue.front(), state) ? order_result::done
                                                              : order_result::undone,
                         now);
        }
    }
    advance(now);
}

void order_sender::on_engine_state_failed(std::uint64_t number, core::time_point now)
{
    if (m_step != step::reading || number != m_read_number)
    {
        return;
    }
    m_step = step::unsynced;
    m_earliest_read = std::max<core::time_point>(m_earliest_read, now + m_settings.m_retry_delay);
    advance(now);
}

void order_sender::on_timer(core::time_point now)
{
    m_lease.on_timer(now);
    m_slot.on_timer(now);
    advance(now);
}

std::optional<core::time_point> order_sender::next_deadline() const
{
    std::optional<core::time_point> next = earlier(m_lease.next_deadline(), m_slot.next_deadline());
    if (!m_queue.empty() && m_step == step::unsynced && m_read_deferred)
    {
        next = earlier(next, m_earliest_read);
    }
    return next;
}

std::vector<order_action> order_sender::take_actions()
{
    return std::exchange(m_actions, {});
}

bool order_sender::idle() const noexcept
{
    return m_queue.empty();
}

void order_sender::advance(core::time_point now)
{
    process_queue(now);
    collect_operations();
}

void order_sender::collect_operations()
{
    for (std::size_t lease = 0; lease <= max_weight_loads; ++lease)
    {
        std::optional<lease_operation> operation =
            lease == engine_lease ? m_lease.take_operation() : m_slot.take_operation(lease - 1);
        if (!operation)
        {
            continue;
        }
        m_operations[m_next_number] = lease;
        std::visit(
            [&](auto& what) {
                what.m_operation = m_next_number++;
                m_actions.emplace_back(std::move(what));
            },
            *operation);
    }
}

std::optional<std::size_t> order_sender::take_lease_index(std::uint64_t operation)
{
    const auto found = m_operations.find(operation);
    if (found == m_operations.end())
    {
        return std::nullopt;
    }
    const std::size_t lease = found->second;
    m_operations.erase(found);
    return lease;
}

} // namespace tarragontrail::placement
