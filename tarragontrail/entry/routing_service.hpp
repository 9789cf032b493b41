#pragma once

#include "tarragontrail/entry/control_service.hpp"
#include "tarragontrail/entry/engine_directory.hpp"
#include "tarragontrail/entry/engine_watcher.hpp"
#include "tarragontrail/entry/membership_service.hpp"
#include "tarragontrail/routing/router.hpp"

#include <map>
#include <memory>

namespace tarragontrail::entry {

/// Told of routing decisions, on the control thread.
class routing_listener
{
public:
    virtual ~routing_listener() = default;

    virtual void on_routed(const routing::routed& decision) = 0;
    virtual void on_unroutable(const routing::unroutable& decision) = 0;

    /// An engine that this instance watches restarted or stopped answering.
    virtual void on_engine_restarted(core::upstream_id engine, core::incarnation before) = 0;
};

/// Settings of routing_service.
struct routing_service_settings
{
    routing::routing_settings m_router;                  ///< Decisions.
    engine_watcher_settings m_watcher;                   ///< Watched engines.
    std::chrono::milliseconds m_hint_interval{5000};     ///< Time between rounds of anchor hints.
    std::chrono::milliseconds m_status_interval{20'000}; ///< Time between equal engine statuses.
    std::size_t m_hints = 4;                             ///< Anchor hints of one round.
};

/// Routes completions to engines and watches this instance's share of them.
class routing_service : public control_service
{
public:
    routing_service(control_context& context, const routing_service_settings& settings,
                    membership_service& membership, routing_listener& listener, std::uint64_t seed);

    void on_bundle(const config::bundle& applied, core::time_point now);
    void on_view(core::time_point now);

    /// Gossip of this service's kinds; others are ignored.
    void on_gossip(const membership::gossip_item& item, core::time_point now);

    /// Takes a message of this service's kinds; returns false for others.
    bool on_message(core::instance_id from, const wire::message& message, core::time_point now);

    /// This instance's circuit to an engine opened or closed.
    void set_reachable(core::upstream_id engine, bool reachable, core::time_point now);

    /// Placement starts or stops to keep new work from an engine watched here.
    void set_draining(core::upstream_id engine, bool draining, core::time_point now);

    /// Decisions.
    routing::router& router() noexcept { return m_router; }

    /// Engines.
    const engine_directory& engines() const noexcept { return m_engines; }

    /// Watchers of this instance, by engine.
    const std::map<core::upstream_id, std::shared_ptr<engine_watcher>>& watchers() const noexcept
    {
        return m_watchers;
    }

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    void choose_watched(core::time_point now);
    void watch(const engine_info& engine, core::time_point now);
    void on_report(core::upstream_id engine, const std::optional<engine_report>& report);
    void publish(core::upstream_id engine, engine_status status, core::time_point now);
    void send_lookup(const routing::send_lookup& action);
    void answer_lookup(core::instance_id from, const routing::lookup_request& request,
                       core::time_point now);
    void take_answer(const wire::lookup_answer& answer, core::time_point now);
    void send_hints(core::time_point now);
    void refresh_router(core::time_point now);

    control_context& m_context;          ///< Shared means.
    routing_service_settings m_settings; ///< Settings.
    membership_service& m_membership;    ///< Owners of engines, gossip.
    routing_listener& m_listener;        ///< Told of decisions.
    net::http_client m_client;           ///< Connections to watched engines.
    engine_directory m_engines;          ///< Engines.
    routing::router m_router;            ///< Decisions.
    std::map<core::upstream_id, std::shared_ptr<engine_watcher>> m_watchers; ///< Watched here.
    std::map<core::upstream_id, core::time_point> m_published; ///< Last status sent, by engine.
    core::time_point m_next_hints{};                           ///< Next round of anchor hints.
};

} // namespace tarragontrail::entry
