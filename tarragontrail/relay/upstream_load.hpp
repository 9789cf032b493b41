#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace tarragontrail::relay {

/// Load that one request puts on an upstream.
struct request_work
{
    std::uint64_t m_tokens = 0; ///< Tokens that it keeps in the engine's memory while it runs.
    core::duration m_before_first_byte{}; ///< Processing time before the first byte.
};

/// Sum of the requests in progress at an upstream.
struct load_totals
{
    /// Requests in progress.
    std::uint64_t m_in_flight = 0;
    /// Their tokens in memory.
    std::uint64_t m_tokens = 0;
    /// Remaining processing time before the first bytes of all of them.
    core::duration m_backlog{};
};

/// Load of one upstream: this instance's requests as they are now, the peers' as last reported.
class upstream_load
{
public:
    /// A request was sent to the upstream.
    void on_sent(const request_work& work);

    /// The first byte of a request has arrived.
    void on_first_byte(const request_work& work);

    /// A request has ended; `had_first_byte` says whether on_first_byte was called for it.
    void on_ended(const request_work& work, bool had_first_byte);

    /// A peer reported the sum of its requests.
    void on_peer_report(core::instance_id peer, const load_totals& load, core::time_point now);

    /// A peer announced one request; counts until the next on_peer_report of that peer.
    void on_peer_request_sent(core::instance_id peer, const request_work& work,
                              core::time_point now);

    /// Removes the load of a peer.
    void remove_peer(core::instance_id peer) { m_peers.erase(peer); }

    /// Requests of this instance.
    const load_totals& own() const noexcept { return m_own; }

    /// Requests of all instances; the peers' backlog shrinks with the age of their reports.
    load_totals total(core::time_point now) const;

    /// Older reports of peers are ignored; a few heartbeat intervals.
    static constexpr std::chrono::milliseconds peer_load_max_age{1'500};

private:
    /// Last report of a peer.
    struct peer_load
    {
        load_totals m_load;
        core::time_point m_received{};
    };

    load_totals m_own; ///< Requests of this instance.
    std::unordered_map<core::instance_id, peer_load> m_peers;
};

} // namespace tarragontrail::relay
