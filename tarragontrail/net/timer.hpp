#pragma once

#include "tarragontrail/core/clock.hpp"

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
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

/// Asio timer on the runtime clock, which tests pause and advance.
using timer = boost::asio::basic_waitable_timer<core::runtime_clock, runtime_wait_traits>;

/// Calls a handler at a time, unless the timer is set anew or cancelled before.
template <class Handler>
void run_at(timer& waits, core::time_point at, Handler handler)
{
    waits.expires_at(at);
    waits.async_wait(
        [handler = std::move(handler)](const boost::system::error_code& error) mutable {
            if (!error)
            {
                handler();
            }
        });
}

/// Calls a handler after a pause, unless the timer is set anew or cancelled before.
template <class Handler>
void run_after(timer& waits, core::duration pause, Handler handler)
{
    run_at(waits, core::runtime_clock::now() + pause, std::move(handler));
}

} // namespace tarragontrail::net
