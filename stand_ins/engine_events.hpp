#pragma once

#include "stand_ins/block_cache.hpp"
#include "stand_ins/http_support.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/net/timer.hpp"

namespace tarragontrail::stand_ins {

/// Sends an engine's cache changes to its subscribers, late and with losses.
class engine_events
{
public:
    /// `loss` is the fraction of events that a subscriber does not get.
    engine_events(boost::asio::io_context& context, std::chrono::milliseconds delay, double loss,
                  std::uint64_t seed);

    /// Starts an event stream on an exchange.
    void subscribe(const exchange_pointer& exchange);

    /// Numbers a change and sends it after the delay.
    void publish(const cache_change& change);

    /// Forgets unsent events and begins anew at sequence number zero.
    void restart(std::uint64_t incarnation);

    /// Stops or resumes sending; events due meanwhile are lost.
    void set_silent(bool silent) noexcept { m_silent = silent; }

    /// Number of the last event published.
    std::uint64_t sequence() const noexcept { return m_sequence; }

private:
    void send(const std::string& line);
    void send_keep_alive();

    static constexpr std::chrono::seconds keep_alive_interval{5};

    boost::asio::io_context& m_context;          ///< Event loop.
    std::chrono::milliseconds m_delay;           ///< Age of an event when it is sent.
    double m_loss;                               ///< Fraction lost.
    core::seeded_random m_random;                ///< Source of the losses.
    net::timer m_keep_alive_timer;               ///< Next keep-alive comment.
    std::vector<exchange_pointer> m_subscribers; ///< Open event streams.
    std::uint64_t m_incarnation = 0;             ///< Engine's incarnation.
    std::uint64_t m_sequence = 0;                ///< Last event's number.
    bool m_silent = false;                       ///< Sends nothing.
};

} // namespace tarragontrail::stand_ins
