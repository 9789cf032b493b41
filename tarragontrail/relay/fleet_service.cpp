#include "tarragontrail/relay/fleet_service.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Sent as the age of the last order by an instance that has sent none.
constexpr std::chrono::hours no_order_age{24};

/// Part of the time until a configuration must be in force for which a call for changes waits: each
/// answer confirms what is known.
constexpr double confirmation_fraction = 0.6;

table_follower_settings operators_follower_settings(const fleet_service_settings& fleet)
{
    table_follower_settings settings;
    settings.m_max_wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        fleet.m_freshness.m_apply_limit * confirmation_fraction);
    settings.m_first_follow_delay = fleet.m_first_follow_delay;
    return settings;
}

/// Part of the time in which a leaving upstream must get no more requests for which changes of its
/// row may wait.
constexpr double row_delay_fraction = 0.24;

/// Upstream and instance rows change often and in groups.
table_follower_settings slow_follower_settings(const fleet_service_settings& fleet)
{
    table_follower_settings settings;
    settings.m_max_wait = std::chrono::milliseconds(12'000);
    settings.m_delay_after_changes = std::chrono::duration_cast<std::chrono::milliseconds>(
        fleet.m_drain_limit * row_delay_fraction);
    settings.m_first_follow_delay = fleet.m_first_follow_delay;
    return settings;
}

fleet_exchange_settings exchange_settings(const fleet_service_settings& settings)
{
    fleet_exchange_settings exchange;
    exchange.m_links = settings.m_links;
    return exchange;
}

} // namespace

fleet_service::fleet_service(boost::asio::io_context& context,
                             const fleet_service_settings& settings, fleet_member self,
                             const net::tcp::endpoint& peer_endpoint, relay_state& state,
                             table_store& store, engine_control& engines,
                             const document_reader& reader,
                             const placement::duty_lease_settings& lease)
    : m_settings(settings), m_self(std::move(self)), m_state(state), m_store(store),
      m_document_applier(state, reader), m_registry(m_self),
      m_exchange(context, exchange_settings(settings), m_self, peer_endpoint, state, m_registry,
                 *this),
      m_rollout(context, {}, lease, state, m_registry, store, engines, *this, m_self,
                [this](const table_row& row) { publish_own_row(row); }),
      m_cache_events(context, {}, state, m_registry, engines, m_self.m_instance),
      m_copy_budget(settings.m_link_mbps), m_quarantine_rows(context, store),
      m_crash_rows(state, store, [this](const table_row& row) { publish_own_row(row); }),
      m_weights_namings(state, store, [this](const table_row& row) { publish_own_row(row); }),
      m_version_plans(state, store, [this](const table_row& row) { publish_own_row(row); }),
      m_plan_reads(context, m_settings.m_plan_reads,
                   [this](shared_read::handler handler) {
                       follower(followed_table::fleet).read_changes(std::move(handler));
                   }),
      m_identity_checks(state, engines, {}), m_reach_checks(state, engines, {}),
      m_check_timer(context), m_register_timer(context)
{
    for (const followed_table table :
         {followed_table::operators, followed_table::upstreams, followed_table::fleet})
    {
        const bool is_urgent = table == followed_table::operators;
        m_followers[static_cast<std::size_t>(table)] = std::make_unique<table_follower>(
            context, store, table,
            is_urgent ? operators_follower_settings(m_settings)
                      : slow_follower_settings(m_settings),
            [this, table](const std::vector<table_row>& rows, row_source source) {
                on_rows(table, rows, source);
            });
    }
    follower(followed_table::fleet).on_new_era([this] { on_fleet_table_of_new_era(); });
    follower(followed_table::upstreams).on_new_era([this] {
        m_document_applier.on_upstreams_restored(core::runtime_clock::now());
    });
    for (const followed_table table :
         {followed_table::operators, followed_table::upstreams, followed_table::fleet})
    {
        follower(table).on_store_rows(
            [this, table](const std::vector<table_row>& rows, const change_span& span) {
                pass_on(table, rows, span);
            });
    }
    follower(followed_table::operators).on_confirmed([this](store_time as_of) {
        if (m_state.m_routes)
        {
            m_state.m_freshness.on_confirmed(as_of, core::suspension_counting_now());
        }
    });
    follower(followed_table::fleet).on_confirmed([this](store_time as_of) {
        m_state.m_stream_versions.on_contact(moment_of(as_of, core::runtime_clock::now()));
    });
    m_state.m_freshness.begin(m_settings.m_freshness, core::suspension_counting_now());
    for (const auto& each : m_followers)
    {
        each->on_store_time([this](std::chrono::milliseconds time) {
            m_state.m_stream_versions.set_store_time(time, core::runtime_clock::now());
            m_state.m_freshness.set_store_time(time, core::suspension_counting_now());
        });
    }
    engines.on_notice([this](const upstream_identity& engine, const upstream_notice& notice) {
        const auto known = m_state.m_upstreams.find(engine.m_id);
        if (known && known->m_record.identity() == engine)
        {
            m_state.on_notice(*known, notice);
        }
    });
    m_store.on_era([this](std::uint64_t era) { begin_era(era); });
    m_state.m_announcer = this;
    m_state.m_engines = &engines;
    m_state.m_peers = this;
    m_state.m_plan_source = this;
    m_state.m_part_crashes.set_sender(this);
    m_state.m_quarantines_known = false;
}

void fleet_service::start()
{
    for (const auto& each : m_followers)
    {
        each->start();
    }
    register_self();
    m_rollout.start();
    m_cache_events.start();
    m_exchange.start();
    run_periodic_checks();
}

void fleet_service::begin_leaving()
{
    m_leaving = true;
    m_rollout.begin_leaving();
    run_periodic_checks();
    m_exchange.broadcast_heartbeat();
}

/// Passes on a row of the fleet's table that this instance has just written.
void fleet_service::publish_own_row(const table_row& row)
{
    follower(followed_table::fleet).apply_changes({row}, {});
    m_exchange.send_to_fleet(
        wire::rows_news{static_cast<std::uint64_t>(followed_table::fleet), {row}, {}});
}

bool fleet_service::is_ready() const
{
    return !m_leaving && m_state.m_routes && m_state.m_quarantines_known &&
           m_state.m_freshness.may_serve(core::suspension_counting_now()) &&
           m_followers[static_cast<std::size_t>(followed_table::upstreams)]->mirror().is_complete();
}

/// Writes the row from which other instances learn of this one.
void fleet_service::register_self()
{
    m_is_registering = true;
    m_store.write(
        own_key(), wire::encode(m_self), std::nullopt, [this](const row_write_result& written) {
            const bool is_applied = written.m_outcome == row_write_result::outcome::applied;
            observe::log("registered", {{"applied", is_applied},
                                        {"era", written.m_version.m_era},
                                        {"version", written.m_version.m_number}});
            if (!is_applied)
            {
                m_register_timer.run_after(m_settings.m_registration_retry_delay,
                                           [this] { register_self(); });
                return;
            }
            m_is_registering = false;
            m_registered_version = written.m_version;
        });
}

/// Writes this instance's row again when the table has lost it, or has that of an earlier start.
void fleet_service::check_registration()
{
    const table_mirror& mirror = follower(followed_table::fleet).mirror();
    if (m_is_registering || !mirror.is_complete() ||
        mirror.position().m_complete < m_registered_version)
    {
        return;
    }
    const table_row* own = mirror.find(own_key());
    if (own == nullptr || own->m_value != wire::encode(m_self))
    {
        register_self();
    }
}

std::uint64_t fleet_service::configuration_in_force() const
{
    return m_state.m_routes ? m_state.m_routes->config().m_version : 0;
}

std::string fleet_service::own_key() const
{
    return std::string(member_prefix) + std::to_string(core::value_of(m_self.m_instance));
}

/// Updates state that changes with time alone.
void fleet_service::run_periodic_checks()
{
    const core::time_point now = core::runtime_clock::now();
    log_standing(core::suspension_counting_now());
    m_state.m_quarantines_known |= follower(followed_table::fleet).mirror().is_complete();
    if (is_ready() != m_logged_readiness)
    {
        m_logged_readiness = is_ready();
        observe::log("readiness", {{"ready", m_logged_readiness}, {"leaving", m_leaving}});
    }
    m_registry.set_own_status({m_self.m_started, is_ready(), m_leaving, is_table_store_reachable(),
                               m_state.m_reach.cut_off_hashes()},
                              now);
    check_reach(now);
    check_registration();
    m_document_applier.on_timer(now);
    m_state.m_upstreams.remove_departed(m_settings.m_departed_retention, now);
    share_limits(now);
    update_store_reader(now);
    if (m_state.m_standstill.on_check(core::suspension_counting_now()))
    {
        m_state.m_stream_versions.forget_contact();
    }
    check_versions(now);
    m_state.m_crash_attribution.on_timer(now);
    share_crash_reports();
    write_kept_rows(now);
    m_check_timer.run_after(m_settings.m_check_interval, [this] { run_periodic_checks(); });
}

/// Tells the others at once which services cannot be reached from here, so that their directories
/// name other instances.
void fleet_service::check_reach(core::time_point now)
{
    m_reach_checks.check(now);
    std::vector<std::uint64_t> cut_off = m_state.m_reach.cut_off_hashes();
    if (cut_off != m_told_cut_off)
    {
        m_told_cut_off = std::move(cut_off);
        m_exchange.broadcast_heartbeat();
    }
}

std::optional<passing_peer>
fleet_service::peer_reaching(const std::string& service,
                             const std::vector<core::instance_id>& tried)
{
    const auto peer = m_registry.peer_reaching(core::hash_name(service), tried, m_state.m_random(),
                                               core::runtime_clock::now());
    if (!peer)
    {
        return std::nullopt;
    }
    net::tcp::endpoint endpoint =
        net::parse_endpoint(m_registry.members().at(*peer).m_peer_address);
    endpoint.port(static_cast<std::uint16_t>(endpoint.port() + passed_on_port_offset));
    return passing_peer{*peer, endpoint};
}

/// Instances that are not heard may still use their shares of the fleet's limits.
void fleet_service::share_limits(core::time_point now)
{
    const std::vector<turn_member> members = m_registry.turn_members(now);
    m_state.m_turn_order.set_members(members);
    const std::size_t alive = m_registry.alive_count(now);
    if (alive != m_logged_alive)
    {
        m_logged_alive = alive;
        observe::log("instances", {{"alive", alive},
                                   {"sharing", members.size()},
                                   {"known", m_registry.members().size()}});
    }
    if (members.size() == m_state.m_sharing_instances)
    {
        return;
    }
    m_state.m_sharing_instances = members.size();
    for (auto& [name, budget] : m_state.m_budgets)
    {
        budget.on_instance_count(members.size(), now);
    }
}

/// Keeps the plans of the services' software versions, and asks about upstreams in doubt.
void fleet_service::check_versions(core::time_point now)
{
    if (!m_state.m_routes || !is_ready())
    {
        return;
    }
    m_version_plans.check(m_registry.first_ready(now) == m_self.m_instance,
                          follower(followed_table::fleet).mirror(), now);
    for (const std::string& service : m_version_plans.services())
    {
        m_identity_checks.check(service, now);
    }
}

/// Moment of this instance's clock at which the store's clock showed a time.
core::time_point fleet_service::moment_of(store_time as_of, core::time_point now) const
{
    const auto store_now = m_state.m_freshness.store_time_at(core::suspension_counting_now());
    const store_time age = store_now.value_or(as_of) - as_of;
    return now - std::max(age, store_time::zero());
}

/// Instances that are cut off together confirm each other in what none of them knows, so one of
/// those that are heard must have reached the store lately, or none may be missing.
bool fleet_service::may_peers_confirm(core::time_point now) const
{
    const auto standing = m_state.m_freshness.standing(core::suspension_counting_now());
    return standing == configuration_standing::current || m_registry.hears_all(now);
}

void fleet_service::read_plans(std::function<void(bool is_read)> handler)
{
    m_plan_reads.ask(std::move(handler));
}

bool fleet_service::do_all_confirm(core::time_point since) const
{
    const auto& members = m_registry.members();
    return std::all_of(members.begin(), members.end(), [this, since](const auto& entry) {
        const auto told = m_confirmed_by.find(entry.first);
        return entry.first == m_self.m_instance ||
               (told != m_confirmed_by.end() && told->second >= since);
    });
}

/// Few instances of each region read the table store; the others receive changes from them.
void fleet_service::update_store_reader(core::time_point now)
{
    // What others have and cannot send in time may come from the table store.
    const bool is_cut_off = !m_state.m_freshness.may_serve(core::suspension_counting_now());
    const bool is_reader =
        m_registry.is_store_reader(now) || !is_table_store_reachable() || is_cut_off;
    if (is_reader != m_is_store_reader)
    {
        m_is_store_reader = is_reader;
        observe::log("store_reader", {{"reads", is_reader}});
    }
    for (const auto& each : m_followers)
    {
        each->set_active(is_reader);
    }
}

void fleet_service::share_crash_reports()
{
    for (const recovery::crash_attribution_action& action :
         m_state.m_crash_attribution.take_actions())
    {
        if (const auto* report = std::get_if<recovery::send_crash_report>(&action))
        {
            m_exchange.send_to_fleet(report->m_report);
        }
        else if (const auto* quarantine = std::get_if<recovery::send_quarantine_notice>(&action))
        {
            observe::log("quarantined", {{"fingerprint", quarantine->m_notice.m_fingerprint},
                                         {"crashes", quarantine->m_notice.m_crashes.size()}});
            m_exchange.send_to_fleet(quarantine->m_notice);
            m_quarantine_rows.write(quarantine->m_notice);
        }
        else if (const auto* suspended = std::get_if<recovery::keep_suspension>(&action))
        {
            observe::log("suspended", {{"fingerprint", suspended->m_history.m_fingerprint},
                                       {"crashes", suspended->m_history.m_crashes.size()}});
            m_quarantine_rows.write(suspended->m_history);
        }
        else
        {
            m_exchange.send_to_fleet(std::get<recovery::send_exoneration_notice>(action).m_notice);
        }
    }
}

/// Writes what instances that start later must know and no row of others tells.
void fleet_service::write_kept_rows(core::time_point now)
{
    for (const recovery::crash_record& record : m_state.m_crash_attribution.take_unkept(now))
    {
        m_crash_rows.keep(record, now);
    }
    const table_mirror& fleet = follower(followed_table::fleet).mirror();
    const bool is_writer = m_registry.first_ready(now) == m_self.m_instance;
    m_crash_rows.check(is_writer, fleet, now);
    m_weights_namings.check(is_writer, fleet, now);
}

bool fleet_service::is_table_store_reachable() const
{
    return std::all_of(m_followers.begin(), m_followers.end(),
                       [](const auto& each) { return each->is_store_reachable(); });
}

void fleet_service::fill_heartbeat(wire::instance_pulse& heartbeat, core::time_point /*now*/)
{
    heartbeat.m_state.m_ready = is_ready();
    heartbeat.m_state.m_leaving = m_leaving;
    heartbeat.m_state.m_store_reached = is_table_store_reachable();
    heartbeat.m_state.m_cut_off = m_state.m_reach.cut_off_hashes();
    heartbeat.m_versions =
        wire::table_versions{follower(followed_table::operators).mirror().position(),
                             follower(followed_table::upstreams).mirror().position(),
                             follower(followed_table::fleet).mirror().position(),
                             configuration_in_force(),
                             m_state.m_freshness.confirmed_as_of().value_or(store_time::zero()),
                             m_state.m_freshness.store_time_at(core::suspension_counting_now())
                                 .value_or(store_time::zero())};
    heartbeat.m_since_order = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_rollout.since_own_order().value_or(no_order_age));
}

/// The store has come back from an older copy of itself.
void fleet_service::begin_era(std::uint64_t era)
{
    m_state.m_metrics.set_control("store_era", static_cast<double>(era));
    for (const auto& each : m_followers)
    {
        each->begin_era(era);
    }
    m_rollout.begin_era(era);
    m_state.m_stream_versions.on_era(era, core::runtime_clock::now());
}

/// Requests a table from a peer that has a newer version than the store or its readers delivered.
void fleet_service::on_versions(core::instance_id peer, const wire::table_versions& versions,
                                core::time_point now)
{
    const std::array<table_position, followed_table_count> reported{
        versions.m_operators, versions.m_upstreams, versions.m_fleet};
    for (std::size_t table = 0; table < followed_table_count; ++table)
    {
        m_followers[table]->learn_position(reported[table]);
        const table_mirror& mirror = m_followers[table]->mirror();
        const core::store_version own = mirror.position().m_complete;
        const core::store_version peer_version =
            mirror.lacks(reported[table]) ? reported[table].m_complete : own;
        if (m_staleness_detectors[table].on_peer_version(peer_version, own, now))
        {
            observe::log("copy_requested", {{"table", to_string(followed_table{table})},
                                            {"peer", core::value_of(peer)},
                                            {"version", own.m_number},
                                            {"peer_version", peer_version.m_number}});
            m_exchange.send_to(peer, wire::rows_request{table});
        }
    }
    note_configuration_age(versions);
    note_plans_known_by(peer, versions, now);
    // With a table as new as the peer's, only a return of the store explains an older document.
    if (!follower(followed_table::operators).mirror().lacks(versions.m_operators) &&
        m_configuration_staleness.on_peer_version(versions.m_configuration,
                                                  configuration_in_force(), now))
    {
        m_exchange.send_to(
            peer, wire::rows_request{static_cast<std::uint64_t>(followed_table::operators)});
    }
}

/// A peer that knows no newer plans confirms those that are known here, as of the time at which it
/// sent the message, which may have waited on its way.
void fleet_service::note_plans_known_by(core::instance_id peer,
                                        const wire::table_versions& versions, core::time_point now)
{
    if (follower(followed_table::fleet).mirror().lacks(versions.m_fleet) ||
        versions.m_store_time <= store_time::zero())
    {
        m_confirmed_by.erase(peer);
        return;
    }
    const core::time_point sent = moment_of(versions.m_store_time, now);
    m_confirmed_by[peer] = sent;
    if (may_peers_confirm(now))
    {
        m_state.m_stream_versions.on_contact(sent);
    }
}

/// A peer that has nothing newer confirms the configuration as far as it is confirmed there.
void fleet_service::note_configuration_age(const wire::table_versions& versions)
{
    const core::time_point now = core::suspension_counting_now();
    if (versions.m_store_time > store_time::zero())
    {
        m_state.m_freshness.set_store_time(versions.m_store_time, now);
    }
    const bool has_newer =
        follower(followed_table::operators).mirror().lacks_row(versions.m_operators) ||
        versions.m_configuration > configuration_in_force();
    if (has_newer)
    {
        m_state.m_freshness.on_newer_known(now);
    }
    else if (versions.m_confirmed > store_time::zero() && m_state.m_routes)
    {
        m_state.m_freshness.on_confirmed(versions.m_confirmed, now);
    }
}

void fleet_service::log_standing(core::time_point now)
{
    const configuration_standing standing = m_state.m_freshness.standing(now);
    if (standing == m_logged_standing)
    {
        return;
    }
    m_logged_standing = standing;
    const auto age = m_state.m_freshness.age(now);
    observe::log("configuration_standing",
                 {{"standing", to_string(standing)},
                  {"version", configuration_in_force()},
                  {"age_ms", age ? rounded_milliseconds(*age) : "unknown"}});
}

void fleet_service::on_order_age(core::duration age, core::time_point now)
{
    if (age < no_order_age)
    {
        m_rollout.on_progress(now - age);
    }
}

void fleet_service::announce_part_use(const part_use& use)
{
    m_exchange.announce_part({use.m_part, use.m_holder, use.m_tokens,
                              std::chrono::duration_cast<std::chrono::milliseconds>(use.m_work)});
}

void fleet_service::announce_streams(const std::vector<begun_stream>& streams)
{
    wire::streams_notice notice;
    for (const begun_stream& each : streams)
    {
        notice.m_streams.push_back({each.m_stream, each.m_version.m_name});
    }
    m_exchange.send_to_fleet(notice);
}

void fleet_service::send_part_evidence(const recovery::part_attribution_action& evidence)
{
    std::visit([this](const auto& message) { m_exchange.send_to_fleet(message); }, evidence);
    if (const auto* notice = std::get_if<recovery::part_quarantine_notice>(&evidence))
    {
        m_quarantine_rows.write(*notice);
    }
}

void fleet_service::announce_weights(core::upstream_id engine, const std::string& model,
                                     placement::weights_version version)
{
    m_exchange.send_to_fleet(
        wire::weights_notice{engine, model, false, static_cast<std::uint64_t>(version)});
}

void fleet_service::announce_weights_update(const placement::announce_engine& update)
{
    const wire::weights_notice notice{update.m_engine, update.m_model, update.m_loading,
                                      static_cast<std::uint64_t>(update.m_version)};
    on_weights_notice(notice);
    m_exchange.send_to_fleet(notice);
}

void fleet_service::announce_yield(const placement::duty_release& release)
{
    m_exchange.send_to_fleet(release);
}

void fleet_service::ask_presence(core::instance_id instance)
{
    m_exchange.ask_presence(instance);
}

table_follower& fleet_service::follower(followed_table table)
{
    return *m_followers[static_cast<std::size_t>(table)];
}

} // namespace tarragontrail::relay
