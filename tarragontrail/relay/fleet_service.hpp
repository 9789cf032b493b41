#pragma once

#include "tarragontrail/relay/cache_event_follower.hpp"
#include "tarragontrail/relay/document_applier.hpp"
#include "tarragontrail/relay/fleet_exchange.hpp"
#include "tarragontrail/relay/staleness_detector.hpp"
#include "tarragontrail/relay/table_follower.hpp"
#include "tarragontrail/relay/weights_rollout_coordinator.hpp"

#include <array>
#include <memory>

namespace tarragontrail::relay {

/// Settings of fleet_service.
struct fleet_service_settings
{
    std::chrono::milliseconds m_check_interval{200}; ///< Pause between looks at what lapsed.
    std::chrono::milliseconds m_weights_update_timeout{
        2'500}; ///< An engine's turn is over after this.
    std::chrono::milliseconds m_registration_retry_delay{
        400}; ///< Pause after a failed write of the own row.
    std::chrono::milliseconds m_departed_retention{
        30'000}; ///< Upstreams that left are forgotten then.
};

/// This instance among the others: its row, its copies of the store's tables, its duties.
class fleet_service : public fleet_exchange_listener,
                      public relay_announcer,
                      public weights_announcer
{
public:
    fleet_service(boost::asio::io_context& context, fleet_service_settings settings,
                  fleet_member self, const net::tcp::endpoint& peer_endpoint, relay_state& state,
                  table_store& store, engine_control& engines, const document_reader& reader,
                  const placement::duty_lease_settings& lease);

    /// Begins to follow the store and to speak to other instances.
    void start();

    /// Tells the others that this instance is leaving, and gives up its duties.
    void begin_leaving();

    /// Configuration and upstreams are known, and the instance is not leaving.
    bool is_ready() const;

    /// Instances.
    const instance_registry& registry() const noexcept { return m_registry; }

    void announce_part_use(const part_use& use) override;
    void announce_weights(core::upstream_id engine, const std::string& model,
                          placement::weights_version version) override;
    void announce_weights_update(const placement::announce_engine& update) override;

private:
    void fill_heartbeat(wire::instance_pulse& heartbeat, core::time_point now) override;
    void on_versions(core::instance_id peer, const wire::table_versions& versions,
                     core::time_point now) override;
    void on_order_age(core::duration age, core::time_point now) override;
    void on_message(core::instance_id from, const wire::message& message) override;
    void on_weights_notice(const wire::weights_notice& notice);
    void on_part_notice(core::instance_id from, const wire::part_notice& notice);
    void on_rows_request(core::instance_id from, const wire::rows_request& request);
    void on_rows_answer(const wire::rows_answer& answer);
    void on_rows_news(const wire::rows_news& update);
    void on_rows(followed_table table, const std::vector<table_row>& rows, bool from_store);
    void on_fleet_rows(const std::vector<table_row>& rows);
    void register_self();
    void run_periodic_checks();
    void update_store_reader(core::time_point now);
    void share_crash_reports();
    bool is_table_store_reachable() const;
    table_follower& follower(followed_table table);

    fleet_service_settings m_settings;     ///< Settings.
    fleet_member m_self;                   ///< This instance.
    relay_state& m_state;                  ///< What requests use.
    table_store& m_store;                  ///< Store.
    document_applier m_document_applier;   ///< Puts rows in force.
    instance_registry m_registry;          ///< Instances.
    fleet_exchange m_exchange;             ///< Words among them.
    weights_rollout_coordinator m_rollout; ///< Roll-out of weights.
    cache_event_follower m_cache_events;   ///< Store of cached parts.
    std::array<std::unique_ptr<table_follower>, followed_table_count> m_followers; ///< By table.
    std::array<staleness_detector, followed_table_count>
        m_staleness_detectors;       ///< When to ask peers for one.
    net::timer m_check_timer;        ///< Next look.
    net::timer m_register_timer;     ///< Next try to write the own row.
    bool m_leaving = false;          ///< The instance is shutting down.
    bool m_logged_readiness = false; ///< Readiness that was logged last.
    bool m_is_store_reader = true;   ///< This instance follows the store.
};

} // namespace tarragontrail::relay
