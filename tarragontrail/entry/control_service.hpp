#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/entry/platform_client.hpp"
#include "tarragontrail/membership/view.hpp"
#include "tarragontrail/net/peer_network.hpp"
#include "tarragontrail/observe/metrics.hpp"

#include <functional>
#include <optional>

namespace tarragontrail::entry {

/// What every service on the control thread uses.
struct control_context
{
    membership::member m_self;    ///< This instance.
    net::duty& m_control;         ///< Control thread.
    platform_client& m_platform;  ///< Platform's services.
    net::peer_network& m_peers;   ///< Other instances.
    observe::metrics& m_metrics;  ///< Counters.
    std::function<void()> m_pump; ///< Carries out actions after an event from outside.
};

/// One group of decision cores on the control thread, with the carrying out of their actions.
class control_service
{
public:
    virtual ~control_service() = default;

    /// Carries out the actions waiting; returns whether there were any.
    virtual bool run_actions(core::time_point now) = 0;

    /// Earliest moment at which on_timer has work to do.
    virtual std::optional<core::time_point> next_deadline() const = 0;

    /// Lets the cores act on the time.
    virtual void on_timer(core::time_point now) = 0;
};

/// The earlier of two moments, where nothing is later than anything.
inline std::optional<core::time_point> earlier(std::optional<core::time_point> first,
                                               std::optional<core::time_point> second)
{
    if (!first || !second)
    {
        return first ? first : second;
    }
    return std::min(*first, *second);
}

} // namespace tarragontrail::entry
