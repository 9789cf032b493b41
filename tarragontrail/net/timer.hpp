#pragma once

#include "tarragontrail/core/clock.hpp"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <utility>

namespace tarragontrail::net {

/// Tells Asio how long to sleep for a timer on the runtime clock.
struct runtime_wait_traits
{
    /// Longest real sleep while the clock is paused, so that an advance is seen soon.
    static constexpr core::duration paused_poll = std::chrono::milliseconds(1);

    static core::duration to_wait_duration(const core::duration& remaining)
    {
        return core::runtime_clock::is_paused() ? std::min(remaining, paused_poll) : remaining;
    }

    static core::duration to_wait_duration(const core::time_point& expiry)
    {
        return to_wait_duration(expiry - core::runtime_clock::now());
    }
};

/// Timer on the runtime clock, which tests pause and advance.
///
/// It calls a handler only for its latest setting. Asio queues the handler of a timer when it
/// expires and does not take it back, so a handler may still be due after the timer was cancelled,
/// set anew or destroyed; such a handler is dropped.
class timer
{
public:
    explicit timer(boost::asio::io_context& context) : m_timer(context) {}
    explicit timer(const boost::asio::any_io_executor& executor) : m_timer(executor) {}
    ~timer() { ++*m_setting; }
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Drops the handler that has not been called yet, if any.
    void cancel()
    {
        ++*m_setting;
        m_timer.cancel();
    }

    /// Calls a handler at a time, unless the timer is set anew, cancelled or destroyed before.
    template <class Handler>
    void run_at(core::time_point at, Handler handler)
    {
        const std::uint64_t setting = ++*m_setting;
        m_timer.expires_at(at);
        m_timer.async_wait([latest = m_setting, setting, handler = std::move(handler)](
                               const boost::system::error_code& error) mutable {
            if (!error && *latest == setting)
            {
                handler();
            }
        });
    }

    /// Calls a handler after a delay, unless the timer is set anew, cancelled or destroyed before.
    template <class Handler>
    void run_after(core::duration delay, Handler handler)
    {
        run_at(core::runtime_clock::now() + delay, std::move(handler));
    }

private:
    boost::asio::basic_waitable_timer<core::runtime_clock, runtime_wait_traits> m_timer;
    /// Number of the latest setting; outlives the timer in handlers that are due.
    std::shared_ptr<std::uint64_t> m_setting = std::make_shared<std::uint64_t>(0);
};

} // namespace tarragontrail::net
