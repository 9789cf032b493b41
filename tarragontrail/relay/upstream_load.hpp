#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace tarragontrail::relay {

/// Work that one request brings to an upstream.
struct request_work
{
    std::uint64_t m_tokens = 0;           ///< Tokens that it keeps in memory while it runs.
    core::duration m_before_first_byte{}; ///< Time that the upstream works before the first byte.
};

/// Work under way at an upstream.
struct load_totals
{
    std::uint64_t m_in_flight = 0; ///< Requests.
    std::uint64_t m_tokens = 0;    ///< Their tokens.
    core::duration m_backlog{};    ///< Work before the first bytes that are still owed.
};

/// Load of one upstream: own requests at once, other instances' as they last told.
class upstream_load
{
public:
    /// A request was sent there.
    void on_sent(const request_work& work);

    /// Its first byte has arrived.
    void on_first_byte(const request_work& work);

    /// It has ended; `had_first_byte` says whether on_first_byte was called for it.
    void on_ended(const request_work& work, bool had_first_byte);

    /// Another instance told what it has under way.
    void on_peer_report(core::instance_id peer, const load_totals& load, core::time_point now);

    /// Another instance told that it sent one request; its next word replaces this.
    void on_peer_request_sent(core::instance_id peer, const request_work& work,
                              core::time_point now);

    /// Forgets another instance.
    void remove_peer(core::instance_id peer) { m_peers.erase(peer); }

    /// Own requests.
    const load_totals& own() const noexcept { return m_own; }

    /// All requests known of; what peers told shrinks with its age and lapses.
    load_totals total(core::time_point now) const;

    /// What a peer told counts for so long; a few rounds of the exchange among instances.
    static constexpr std::chrono::milliseconds peer_load_max_age{1'500};

private:
    /// What another instance told.
    struct peer_load
    {
        load_totals m_load;            ///< Its requests.
        core::time_point m_received{}; ///< When it told.
    };

    load_totals m_own;                                        ///< Own requests.
    std::unordered_map<core::instance_id, peer_load> m_peers; ///< By instance.
};

} // namespace tarragontrail::relay
