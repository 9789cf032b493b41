#include "tarragontrail/relay/fleet_service.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {
namespace {

/// Told instead of the time since an order by an instance that gave none.
constexpr std::chrono::hours never_ordered{24};

/// Upstreams and instances change often together, and a second more is soon enough.
table_follower_settings calm_settings()
{
    table_follower_settings settings;
    settings.m_wait = std::chrono::milliseconds(12'000);
    settings.m_pause = std::chrono::milliseconds(600);
    return settings;
}

} // namespace

fleet_service::fleet_service(boost::asio::io_context& context, fleet_service_settings settings,
                             fleet_member self, const net::tcp::endpoint& peer_endpoint,
                             relay_state& state, table_store& store, engine_control& engines,
                             const document_reader& reader,
                             const placement::duty_lease_settings& lease)
    : m_settings(settings), m_self(std::move(self)), m_state(state), m_store(store),
      m_documents(state, reader), m_roster(m_self),
      m_exchange(context, {}, m_self, peer_endpoint, state, m_roster, *this),
      m_weights(context, {}, lease, state, m_roster, store, engines, *this, m_self),
      m_cache_watch(context, {}, state, m_roster, engines, m_self.m_instance),
      m_look_timer(context), m_register_timer(context)
{
    for (const followed_table table :
         {followed_table::operators, followed_table::upstreams, followed_table::fleet})
    {
        const bool is_urgent = table == followed_table::operators;
        m_followers[static_cast<std::size_t>(table)] = std::make_unique<table_follower>(
            context, store, table, is_urgent ? table_follower_settings{} : calm_settings(),
            [this, table](const std::vector<table_row>& rows, bool from_store) {
                on_rows(table, rows, from_store);
            });
    }
    m_state.m_announcer = this;
}

void fleet_service::start()
{
    for (const auto& one : m_followers)
    {
        one->start();
    }
    register_self();
    m_weights.start();
    m_cache_watch.start();
    m_exchange.start();
    look();
}

void fleet_service::begin_leaving()
{
    m_leaving = true;
    m_weights.stop();
    look();
    m_exchange.speak();
}

bool fleet_service::is_ready() const
{
    return !m_leaving && m_state.m_routes &&
           m_followers[static_cast<std::size_t>(followed_table::upstreams)]->mirror().is_complete();
}

/// Other instances learn of this one by its row.
void fleet_service::register_self()
{
    const std::string key =
        std::string(member_prefix) + std::to_string(core::value_of(m_self.m_instance));
    m_store.write(key, wire::encode(m_self), std::nullopt, [this](const row_write_result& written) {
        observe::log("registered",
                     {{"applied", written.m_outcome == row_write_result::outcome::applied},
                      {"version", written.m_version}});
        if (written.m_outcome == row_write_result::outcome::applied)
        {
            return;
        }
        net::run_after(m_register_timer, m_settings.m_register_retry, [this] { register_self(); });
    });
}

/// Regular look at what changed with time alone.
void fleet_service::look()
{
    const core::time_point now = core::runtime_clock::now();
    if (is_ready() != m_was_ready)
    {
        m_was_ready = is_ready();
        observe::log("readiness", {{"ready", m_was_ready}, {"leaving", m_leaving}});
    }
    m_roster.set_own_word({m_self.m_started, is_ready(), m_leaving, is_store_reached()});
    m_state.m_upstreams.forget_left(m_settings.m_forget_left, now);
    const std::size_t alive = m_roster.alive_count(now);
    if (alive != m_state.m_instances)
    {
        m_state.m_instances = alive;
        for (auto& [name, budget] : m_state.m_budgets)
        {
            budget.on_instance_count(alive, now);
        }
        observe::log("instances", {{"alive", alive}, {"known", m_roster.members().size()}});
    }
    follow_by_turns(now);
    m_state.m_crash_attribution.on_timer(now);
    share_blame();
    net::run_after(m_look_timer, m_settings.m_look, [this] { look(); });
}

/// A few instances of each region follow the store; the others get its news from them.
void fleet_service::follow_by_turns(core::time_point now)
{
    const bool reads = m_roster.is_reader(now) || !is_store_reached();
    if (reads != m_reads)
    {
        m_reads = reads;
        observe::log("store_reader", {{"reads", reads}});
    }
    for (const auto& one : m_followers)
    {
        one->set_active(reads);
    }
}

void fleet_service::share_blame()
{
    for (const recovery::crash_attribution_action& action :
         m_state.m_crash_attribution.take_actions())
    {
        if (const auto* crash = std::get_if<recovery::send_crash_report>(&action))
        {
            m_exchange.tell_all(crash->m_report);
        }
        else if (const auto* quarantine = std::get_if<recovery::send_quarantine_notice>(&action))
        {
            observe::log("quarantined", {{"fingerprint", quarantine->m_notice.m_fingerprint},
                                         {"crashes", quarantine->m_notice.m_crashes.size()}});
            m_exchange.tell_all(quarantine->m_notice);
        }
        else
        {
            m_exchange.tell_all(std::get<recovery::send_exoneration_notice>(action).m_notice);
        }
    }
}

bool fleet_service::is_store_reached() const
{
    return std::all_of(m_followers.begin(), m_followers.end(),
                       [](const auto& one) { return one->is_reached(); });
}

void fleet_service::describe(wire::instance_pulse& word, core::time_point /*now*/)
{
    word.m_state.m_ready = is_ready();
    word.m_state.m_leaving = m_leaving;
    word.m_state.m_store_reached = is_store_reached();
    word.m_versions = {follower(followed_table::operators).mirror().newest(),
                       follower(followed_table::upstreams).mirror().newest(),
                       follower(followed_table::fleet).mirror().newest()};
    word.m_since_order = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_weights.since_own_order().value_or(never_ordered));
}

/// Asks a peer that knows more of a table than the store or the readers have told.
void fleet_service::on_versions(core::instance_id peer, const wire::table_versions& versions,
                                core::time_point now)
{
    const std::array<std::uint64_t, followed_table_count> told{
        versions.m_operators, versions.m_upstreams, versions.m_fleet};
    for (std::size_t table = 0; table < followed_table_count; ++table)
    {
        const std::uint64_t own = m_followers[table]->mirror().newest();
        if (m_staleness[table].on_peer_version(told[table], own, now))
        {
            m_exchange.tell(peer, wire::rows_request{table});
        }
    }
}

void fleet_service::on_order_age(core::duration age, core::time_point now)
{
    if (age < never_ordered)
    {
        m_weights.on_progress(now - age);
    }
}

void fleet_service::announce_part(const part_use& use)
{
    m_exchange.tell_all(
        wire::part_notice{use.m_part, use.m_holder, use.m_tokens,
                          std::chrono::duration_cast<std::chrono::milliseconds>(use.m_work)});
}

void fleet_service::announce_weights(core::upstream_id engine, const std::string& model,
                                     placement::weights_version version)
{
    m_exchange.tell_all(
        wire::weights_notice{engine, model, false, static_cast<std::uint64_t>(version)});
}

void fleet_service::announce_turn(const placement::announce_engine& turn)
{
    const wire::weights_notice notice{turn.m_engine, turn.m_model, turn.m_loading,
                                      static_cast<std::uint64_t>(turn.m_version)};
    on_weights_notice(notice);
    m_exchange.tell_all(notice);
}

table_follower& fleet_service::follower(followed_table table)
{
    return *m_followers[static_cast<std::size_t>(table)];
}

} // namespace tarragontrail::relay
