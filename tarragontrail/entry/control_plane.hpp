#pragma once

#include "tarragontrail/entry/call_flow.hpp"
#include "tarragontrail/entry/completion_flow.hpp"
#include "tarragontrail/entry/membership_service.hpp"
#include "tarragontrail/entry/placement_service.hpp"

#include <atomic>
#include <memory>
#include <vector>

namespace tarragontrail::entry {

/// Settings of everything on the control thread.
struct control_settings
{
    membership_settings m_membership;           ///< View, heartbeats, gossip.
    config::key_freshness_settings m_freshness; ///< How old a word on keys may be.
    config::bundle_agent_settings m_bundle;     ///< Bundle.
    limits_service_settings m_limits;           ///< Rate and burst.
    routing_service_settings m_routing;         ///< Engines.
    limits::fair_queue_settings m_queue;        ///< Queue in front of each engine.
    placement_settings m_placement;             ///< Roll-out of weights.
    net::peer_link_settings m_links;            ///< Links to other instances.
};

/// All decision cores of one entry instance on one thread, and the messages between instances.
class control_plane : private net::peer_network_listener,
                      private membership_listener,
                      private config_listener,
                      private limits_listener,
                      private recovery_listener
{
public:
    control_plane(net::duty& control, net::duty& callers, platform_client& platform,
                  observe::metrics& metrics, const membership::member& self,
                  const control_settings& settings);
    ~control_plane() override;

    /// Starts all services; called once on the control thread.
    void start();

    /// Tells the fleet that this instance is shutting down.
    void leave();

    /// Carries out waiting actions and sets the timer; called after every event from outside.
    void pump();

    // Services, for sessions and operators.
    membership_service& membership() noexcept { return m_membership; }
    config_service& config() noexcept { return m_config; }
    limits_service& limits() noexcept { return m_limits; }
    routing_service& routing() noexcept { return m_routing; }
    recovery_service& recovery() noexcept { return m_recovery; }
    completion_flow& completions() noexcept { return m_completions; }
    call_flow& calls() noexcept { return m_calls; }

    /// This instance.
    const membership::member& self() const noexcept { return m_context.m_self; }

    /// Instances that a workspace's callers are sent to, by its part of the configured rates.
    std::size_t locate_homes(core::workspace_id workspace) const;

    /// Work that a graceful shutdown waits for.
    std::size_t active() const noexcept { return m_completions.active() + m_calls.active(); }

    /// Calls to plain services that have not ended or whose answer is not yet stored; safe from
    /// every thread.
    std::size_t open_calls() const noexcept { return m_open_calls; }

private:
    void on_peer_message(core::instance_id from, const wire::message& message) override;
    void on_view(const membership::view& current) override;
    void on_instance_list(const std::vector<membership::listed_instance>& listed,
                          core::time_point asked_at) override;
    void on_gossip(const membership::gossip_item& item) override;
    void on_freshness(const config::freshness_word& word,
                      std::optional<core::time_point> asked_at) override;
    config::freshness_word own_freshness() override;
    void on_bundle(const std::shared_ptr<const config::bundle>& applied) override;
    void on_keys_changed() override;
    void on_spread_withdrawal(const config::withdrawal& made) override;
    void on_admitted(const limits::admitted& decision) override;
    void on_limit_refused(const limits::refused& decision) override;
    void on_share_row_written(const limits::share_row& row) override;
    void on_reachable(core::upstream_id upstream, bool reachable) override;

    void run_until_quiet(core::time_point now);
    void arm_timer(core::time_point now);
    void on_timer();
    void publish_metrics();

    net::peer_network m_peers;                ///< Other instances.
    control_context m_context;                ///< Shared means.
    net::timer m_timer;                       ///< Earliest deadline of all services.
    membership_service m_membership;          ///< View, heartbeats, gossip.
    config_service m_config;                  ///< Bundle and keys.
    limits_service m_limits;                  ///< Rate and burst.
    completion_flow m_completions;            ///< Completions.
    call_flow m_calls;                        ///< Calls to plain services.
    routing_service m_routing;                ///< Engines.
    recovery_service m_recovery;              ///< Crashes and retries.
    placement_service m_placement;            ///< Roll-out of weights.
    std::vector<control_service*> m_services; ///< All of the above.
    std::optional<core::time_point> m_armed;  ///< Deadline that the timer is set to.
    core::time_point m_next_metrics{};        ///< Next update of the gauges.
    std::atomic<std::size_t> m_open_calls{0}; ///< Updated after each event.
    bool m_pumping = false;                   ///< Actions are being carried out.
};

} // namespace tarragontrail::entry
