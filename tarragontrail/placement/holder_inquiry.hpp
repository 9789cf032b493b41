#pragma once

#include "tarragontrail/placement/duty_lease.hpp"

#include <optional>

namespace tarragontrail::placement {

/// Timing of holder_inquiry.
struct holder_inquiry_settings
{
    /// Interval of requests to a holder that has not answered.
    std::chrono::milliseconds m_interval{200};
    /// Time that a holder has to answer, from the first request.
    std::chrono::milliseconds m_patience{400};
    /// Interval of requests to a holder whose time is over.
    std::chrono::milliseconds m_late_interval{1'000};
};

/// Decides when the holder of a lease is asked itself whether it is still there, before another
/// instance takes the lease.
///
/// Load pattern: an instance hears of most others by way of a few. When one of these is lost, a
/// holder falls silent that is alive and goes on giving orders.
class holder_inquiry
{
public:
    explicit holder_inquiry(holder_inquiry_settings settings = {}) : m_settings(settings) {}

    /// Called while there is doubt whether the holder is there. Returns whether to ask it now.
    bool is_request_due(const duty_row& holder, core::time_point now);

    /// Whether this start of the holder was asked and has had the time to answer.
    bool has_expired(const duty_row& holder, core::time_point now) const;

    /// There is no doubt any more.
    void stop() { m_open.reset(); }

private:
    /// Requests to one start of a holder.
    struct open_inquiry
    {
        core::instance_id m_holder{};
        core::incarnation m_started{}; ///< Of the holder.
        core::time_point m_since{};    ///< First request.
        core::time_point m_last{};     ///< Last request.
    };

    bool is_about(const duty_row& holder) const;

    holder_inquiry_settings m_settings;
    std::optional<open_inquiry> m_open;
};

} // namespace tarragontrail::placement
