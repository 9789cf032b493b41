#include "tarragontrail/net/duty.hpp"

#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/observe/log.hpp"

#include <boost/asio/post.hpp>

namespace tarragontrail::net {

duty::duty(std::string name, std::size_t ring_capacity)
    : m_name(std::move(name)), m_capacity(ring_capacity), m_context(1), m_ring(ring_capacity),
      m_work(boost::asio::make_work_guard(m_context))
{}

duty::~duty()
{
    stop();
}

void duty::start()
{
    m_thread = std::thread([this] { run(); });
}

void duty::stop()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

bool duty::try_post(task work)
{
    if (m_ring.size() >= m_capacity / 2 || !m_ring.try_push(std::move(work)))
    {
        return false;
    }
    schedule_drain();
    return true;
}

void duty::post(task work)
{
    // Work taken on is bounded by try_post, so its steps find room.
    TARRAGONTRAIL_INVARIANT(m_ring.try_push(std::move(work)), "step_fits_ring");
    schedule_drain();
}

void duty::schedule_drain()
{
    if (!m_drain_due.exchange(true))
    {
        boost::asio::post(m_context, [this] { drain(); });
    }
}

void duty::run()
{
    // A failure that reaches the loop ends one event, not the process.
    while (!m_context.stopped())
    {
        try
        {
            m_context.run();
        }
        catch (const std::exception& failure)
        {
            observe::log("event_failed", {{"duty", m_name}, {"reason", failure.what()}});
        }
    }
}

void duty::drain()
{
    m_drain_due.store(false);
    while (std::optional<task> work = m_ring.try_pop())
    {
        try
        {
            (*work)();
        }
        catch (const std::exception& failure)
        {
            observe::log("task_failed", {{"duty", m_name}, {"reason", failure.what()}});
        }
    }
}

} // namespace tarragontrail::net
