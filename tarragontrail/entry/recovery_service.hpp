#pragma once

#include "tarragontrail/entry/control_service.hpp"
#include "tarragontrail/entry/membership_service.hpp"
#include "tarragontrail/recovery/connection_health.hpp"
#include "tarragontrail/recovery/crash_attribution.hpp"
#include "tarragontrail/recovery/retry_budget.hpp"

#include <map>

namespace tarragontrail::entry {

/// How an attempt at an upstream ended, as far as its connection tells.
enum class connection_outcome
{
    worked,      ///< The upstream answered.
    not_made,    ///< No connection could be made.
    lost_reused, ///< A connection that had worked before broke.
    lost_fresh,  ///< A new connection broke before it answered.
};

/// Told of upstreams that can be reached or not, on the control thread.
class recovery_listener
{
public:
    virtual ~recovery_listener() = default;

    virtual void on_reachable(core::upstream_id upstream, bool reachable) = 0;
};

/// Blames crashes, budgets retries and keeps a circuit for each upstream.
class recovery_service : public control_service
{
public:
    recovery_service(control_context& context, membership_service& membership,
                     recovery_listener& listener, std::uint64_t seed);

    /// Takes a message of this service's kinds; returns false for others.
    bool on_message(const wire::message& message, core::time_point now);

    /// Where an upstream is, for probes.
    void set_endpoint(core::upstream_id upstream, const net::tcp::endpoint& endpoint);

    /// An attempt at an upstream ended.
    void on_attempt(core::upstream_id upstream, connection_outcome outcome, core::time_point now);

    /// Whether work may be sent to an upstream.
    bool allows(core::upstream_id upstream) const { return m_health.allows(upstream); }

    recovery::crash_attribution& crash_attribution() noexcept { return m_crash_attribution; }
    recovery::retry_budget& budget() noexcept { return m_budget; }

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    void probe(core::upstream_id upstream);

    control_context& m_context;                                  ///< Shared means.
    membership_service& m_membership;                            ///< Broadcasts.
    recovery_listener& m_listener;                               ///< Told of circuits.
    recovery::crash_attribution m_crash_attribution;             ///< Poison requests.
    recovery::retry_budget m_budget;                             ///< Retries.
    recovery::connection_health m_health;                        ///< Circuits.
    std::map<core::upstream_id, net::tcp::endpoint> m_endpoints; ///< For probes.
    std::uint64_t m_next_connection = 1;                         ///< Next connection's number.
};

} // namespace tarragontrail::entry
