#pragma once

#include "tarragontrail/core/bounded_ring.hpp"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>

namespace tarragontrail::net {

/// One thread with its own event loop; other duties hand it work through a bounded ring.
class duty
{
public:
    using task = std::function<void()>;

    /// `ring_capacity` is the largest number of tasks that may wait.
    duty(std::string name, std::size_t ring_capacity);
    ~duty();
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;

    /// Event loop of this duty's thread.
    boost::asio::io_context& context() noexcept { return m_context; }

    /// Runs the loop on a thread of its own.
    void start();

    /// Runs the loop on the calling thread until it is stopped.
    void run_here() { run(); }

    /// Ends the loop and joins the thread.
    void stop();

    /// Hands over new work; returns false when the ring is half full, and it is not run then.
    bool try_post(task work);

    /// Hands over a step of work that was taken on already, for which half of the ring is kept.
    void post(task work);

    /// Name for logs.
    const std::string& name() const noexcept { return m_name; }

private:
    void run();
    void schedule_drain();
    void drain();

    std::string m_name;                   ///< Name for logs.
    std::size_t m_capacity;               ///< Most tasks waiting.
    boost::asio::io_context m_context;    ///< Event loop, run by one thread.
    core::bounded_ring<task> m_ring;      ///< Tasks from other duties.
    std::atomic<bool> m_drain_due{false}; ///< A drain is already scheduled.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work;           ///< Keeps it up.
    std::thread m_thread; ///< Runs the loop between start and stop.
};

} // namespace tarragontrail::net
