#pragma once

#include "tarragontrail/relay/cache_event_follower.hpp"
#include "tarragontrail/relay/copy_budget.hpp"
#include "tarragontrail/relay/crash_rows.hpp"
#include "tarragontrail/relay/document_applier.hpp"
#include "tarragontrail/relay/fleet_exchange.hpp"
#include "tarragontrail/relay/identity_checks.hpp"
#include "tarragontrail/relay/quarantine_rows.hpp"
#include "tarragontrail/relay/reach_checks.hpp"
#include "tarragontrail/relay/shared_read.hpp"
#include "tarragontrail/relay/staleness_detector.hpp"
#include "tarragontrail/relay/table_follower.hpp"
#include "tarragontrail/relay/version_plan_rows.hpp"
#include "tarragontrail/relay/weights_naming_rows.hpp"
#include "tarragontrail/relay/weights_rollout_coordinator.hpp"

#include <array>
#include <memory>
#include <optional>

namespace tarragontrail::relay {

/// Settings of fleet_service.
struct fleet_service_settings
{
    /// Interval of the checks for expired state.
    std::chrono::milliseconds m_check_interval{200};
    /// An engine that loads weights gets requests again after this time.
    std::chrono::milliseconds m_weights_update_timeout{2'500};
    /// Delay after a failed write of this instance's row.
    std::chrono::milliseconds m_registration_retry_delay{400};
    /// Upstreams are removed this long after their row was deleted.
    std::chrono::milliseconds m_departed_retention{30'000};
    /// Delay from the first read of a table to the first call for its changes: heartbeats of the
    /// others arrive by then, and most instances need no such call.
    std::chrono::milliseconds m_first_follow_delay{400};
    /// No request goes to a leaving upstream later than this.
    std::chrono::milliseconds m_drain_limit{2'500};
    /// Reads of the plans for streams whose version must be known.
    shared_read_settings m_plan_reads;
    /// Configurations and what is known of their age.
    configuration_freshness_settings m_freshness;
    /// Bandwidth of this instance's link, in Mbit/s.
    double m_link_mbps = 1'000;
    /// Changes of more bytes are not sent to every instance: each asks one that has them.
    std::size_t m_large_change_bytes = std::size_t{16} * 1024;
    net::peer_link_settings m_links; ///< Bounds on what links to other instances hold.
};

/// Connects this instance to the fleet: registers it, follows the tables of the table store,
/// exchanges state with the other instances and takes part in the weights rollout.
class fleet_service : public fleet_exchange_listener,
                      public relay_announcer,
                      public part_evidence_sender,
                      public peer_source,
                      public plan_source,
                      public weights_announcer
{
public:
    fleet_service(boost::asio::io_context& context, const fleet_service_settings& settings,
                  fleet_member self, const net::tcp::endpoint& peer_endpoint, relay_state& state,
                  table_store& store, engine_control& engines, const document_reader& reader,
                  const placement::duty_lease_settings& lease);

    /// Starts following the table store and exchanging state.
    void start();

    /// Reports to the other instances that this one is leaving, and begins to hand over its part in
    /// the weights rollout.
    void begin_leaving();

    /// True when a configuration and the upstreams are known and the instance is not leaving.
    bool is_ready() const;

    const instance_registry& registry() const noexcept { return m_registry; }

    /// What links to other instances have carried since the start.
    const net::peer_traffic& peer_traffic() const noexcept { return m_exchange.traffic(); }

    void announce_part_use(const part_use& use) override;
    void announce_weights(core::upstream_id engine, const std::string& model,
                          placement::weights_version version) override;
    void announce_streams(const std::vector<begun_stream>& streams) override;
    void announce_weights_update(const placement::announce_engine& update) override;
    void announce_yield(const placement::duty_release& release) override;
    void ask_presence(core::instance_id instance) override;
    std::optional<passing_peer> peer_reaching(const std::string& service,
                                              const std::vector<core::instance_id>& tried) override;
    void send_part_evidence(const recovery::part_attribution_action& evidence) override;
    void read_plans(std::function<void(bool is_read)> handler) override;
    bool do_all_confirm(core::time_point since) const override;

private:
    /// A copy of a table as it is sent to other instances.
    struct packed_copy
    {
        std::uint64_t m_revision = 0; ///< Of the copy that it was made of.
        std::size_t m_size = 0;       ///< Bytes before compression.
        std::string m_bytes;
    };

    void fill_heartbeat(wire::instance_pulse& heartbeat, core::time_point now) override;
    void on_versions(core::instance_id peer, const wire::table_versions& versions,
                     core::time_point now) override;
    void on_order_age(core::duration age, core::time_point now) override;
    void on_part_notice(core::instance_id from, const wire::part_notice& notice) override;
    void on_message(core::instance_id from, const wire::message& message) override;
    void on_weights_notice(const wire::weights_notice& notice);
    void on_rows_request(core::instance_id from, const wire::rows_request& request);
    void on_rows_answer(const wire::rows_answer& answer);
    void on_rows_news(const wire::rows_news& update);
    void publish_own_row(const table_row& row);
    void pass_on(followed_table table, const std::vector<table_row>& rows, const change_span& span);
    const packed_copy& packed_copy_of(followed_table table);
    void note_plans_known_by(core::instance_id peer, const wire::table_versions& versions,
                             core::time_point now);
    void note_configuration_age(const wire::table_versions& versions);
    void log_standing(core::time_point now);
    void on_rows(followed_table table, const std::vector<table_row>& rows, row_source source);
    void on_operator_rows(const std::vector<table_row>& rows, row_source source);
    void on_fleet_rows(const std::vector<table_row>& rows);
    bool on_fleet_row(const table_row& row);
    bool on_fleet_row_deleted(const table_row& row);
    bool on_quarantine_row(const std::string& key, const wire::message& message);
    bool on_kept_row(const table_row& row, const wire::message& message);
    void apply_kept_crashes();
    void send_unwritten_crashes(core::instance_id to);
    void on_fleet_table_of_new_era();
    void begin_era(std::uint64_t era);
    void register_self();
    void check_registration();
    std::string own_key() const;
    std::uint64_t configuration_in_force() const;
    void run_periodic_checks();
    void share_limits(core::time_point now);
    void update_store_reader(core::time_point now);
    void share_crash_reports();
    void write_kept_rows(core::time_point now);
    void check_versions(core::time_point now);
    core::time_point moment_of(store_time as_of, core::time_point now) const;
    bool may_peers_confirm(core::time_point now) const;
    void check_reach(core::time_point now);
    bool is_table_store_reachable() const;
    table_follower& follower(followed_table table);

    fleet_service_settings m_settings;
    fleet_member m_self;
    relay_state& m_state;
    table_store& m_store;
    document_applier m_document_applier;
    instance_registry m_registry;
    fleet_exchange m_exchange;
    weights_rollout_coordinator m_rollout;
    cache_event_follower m_cache_events;
    /// One for each table.
    std::array<std::unique_ptr<table_follower>, followed_table_count> m_followers;
    /// One for each table.
    std::array<packed_copy, followed_table_count> m_packed_copies;
    copy_budget m_copy_budget;
    /// Standing of the configuration that was logged last.
    configuration_standing m_logged_standing = configuration_standing::unconfirmed;
    /// One for each table.
    std::array<staleness_detector<core::store_version>, followed_table_count> m_staleness_detectors;
    /// Of the configuration in force, by the version of its document.
    staleness_detector<std::uint64_t> m_configuration_staleness;
    quarantine_rows m_quarantine_rows;
    crash_rows m_crash_rows;
    weights_naming_rows m_weights_namings;
    /// Crashes of rows that were read and are not applied yet.
    std::vector<recovery::crash_record> m_read_crashes;
    /// Same for suspended requests, whose crashes must be known by their times first.
    std::vector<recovery::crash_history> m_read_histories;
    version_plan_rows m_version_plans;
    shared_read m_plan_reads;
    /// When other instances last sent what they know, where none of it was newer than what is known
    /// here.
    std::map<core::instance_id, core::time_point> m_confirmed_by;
    identity_checks m_identity_checks;
    reach_checks m_reach_checks;
    std::vector<std::uint64_t> m_told_cut_off; ///< Services cut off, as told to others last.
    net::timer m_check_timer;
    net::timer m_register_timer;
    /// Version of this instance's row, as the table store acknowledged it last.
    core::store_version m_registered_version;
    /// A write of this instance's row is under way or due.
    bool m_is_registering = false;
    /// The instance is shutting down.
    bool m_leaving = false;
    std::size_t m_logged_alive = 1; ///< Instances that are heard, as logged last.
    /// Readiness that was logged last.
    bool m_logged_readiness = false;
    /// This instance reads the table store rather than its peers' copies.
    bool m_is_store_reader = true;
};

} // namespace tarragontrail::relay
