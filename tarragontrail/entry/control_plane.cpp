#include "tarragontrail/entry/control_plane.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/wire/cbor_fields.hpp"

#include <nlohmann/json.hpp>

namespace tarragontrail::entry {
namespace {

constexpr std::chrono::milliseconds metrics_interval{1000};

/// Rounds of actions that follow on one event before something is surely wrong.
constexpr std::size_t longest_run = 100'000;

net::tcp::endpoint peer_endpoint(const membership::member& self)
{
    return net::make_endpoint(self.m_address, self.m_ports.m_peer);
}

/// Seed that differs between instances and between starts of one instance.
std::uint64_t seed_of(const membership::member& self, std::uint64_t purpose)
{
    const std::uint64_t process =
        core::hash_pair(core::value_of(self.m_id), core::value_of(self.m_incarnation));
    return core::hash_pair(process, purpose);
}

std::string serialise(const limits::share_row& row)
{
    nlohmann::json fields{core::value_of(row.m_workspace), row.m_version};
    for (const limits::share_slot& slot : row.m_slots)
    {
        fields.push_back(core::value_of(slot.m_holder));
        fields.push_back(core::value_of(slot.m_claimant));
    }
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    return bytes;
}

limits::share_row parse_share_row(const std::string& bytes)
{
    const nlohmann::json fields = wire::parse_cbor(bytes);
    limits::share_row row{core::workspace_id{fields.at(0).get<std::uint64_t>()},
                          fields.at(1).get<std::uint64_t>(),
                          {}};
    for (std::size_t i = 2; i + 1 < fields.size(); i += 2)
    {
        row.m_slots.push_back({core::instance_id{fields.at(i).get<std::uint64_t>()},
                               core::instance_id{fields.at(i + 1).get<std::uint64_t>()}});
    }
    return row;
}

} // namespace

control_plane::control_plane(net::duty& control, net::duty& callers, platform_client& platform,
                             observe::metrics& metrics, const membership::member& self,
                             const control_settings& settings)
    : m_peers(control.context(), peer_endpoint(self), {self.m_id, self.m_incarnation},
              settings.m_links, *this),
      m_context{self, control, platform, m_peers, metrics, [this] { pump(); }}, m_timer(control.context()),
      m_membership(m_context, settings.m_membership, *this, seed_of(self, 1)),
      m_config(m_context, settings.m_freshness, settings.m_bundle, *this, seed_of(self, 2)),
      m_limits(m_context, settings.m_limits, *this, seed_of(self, 3)),
      m_completions(m_context, callers, settings.m_queue),
      m_calls(m_context, callers, seed_of(self, 4)),
      m_routing(m_context, settings.m_routing, m_membership, m_completions, seed_of(self, 5)),
      m_recovery(m_context, m_membership, *this, seed_of(self, 6)),
      m_placement(m_context, settings.m_placement, m_membership, m_routing, seed_of(self, 7)),
      m_services{&m_membership, &m_config,    &m_limits, &m_routing,
                 &m_recovery,   &m_placement, &m_calls,  &m_completions}
{
    m_completions.connect(m_config, m_limits, m_routing, m_recovery);
    m_calls.connect(m_config, m_limits, m_recovery);
}

control_plane::~control_plane() = default;

void control_plane::start()
{
    const core::time_point now = core::runtime_clock::now();
    m_membership.start(now);
    m_config.start(now);
    m_limits.start(now);
    pump();
}

std::size_t control_plane::locate_homes(core::workspace_id workspace) const
{
    double own = 0;
    double all = 0;
    if (const auto& bundle = m_config.applied())
    {
        for (const config::workspace& each : bundle->m_workspaces)
        {
            all += each.m_tokens_per_second;
            own += each.m_id == workspace ? each.m_tokens_per_second : 0;
        }
    }
    const std::size_t members = m_membership.current().members().size();
    return membership::home_count(all > 0 ? own / all : 0, members);
}

void control_plane::leave()
{
    m_membership.leave();
    pump();
}

void control_plane::pump()
{
    // Handlers called while actions are carried out only add to them.
    if (m_pumping)
    {
        return;
    }
    const core::time_point now = core::runtime_clock::now();
    m_pumping = true;
    try
    {
        run_until_quiet(now);
    }
    catch (const core::invariant_violation& failure)
    {
        observe::log("invariant_violated", {{"name", failure.what()}});
    }
    catch (...)
    {
        m_pumping = false;
        arm_timer(now);
        throw;
    }
    m_pumping = false;
    m_open_calls = m_calls.active();
    arm_timer(now);
}

void control_plane::run_until_quiet(core::time_point now)
{
    bool any = true;
    for (std::size_t round = 0; any && round < longest_run; ++round)
    {
        any = false;
        for (control_service* service : m_services)
        {
            any = service->run_actions(now) || any;
        }
    }
    TARRAGONTRAIL_INVARIANT(!any, "actions_end");
}

void control_plane::arm_timer(core::time_point now)
{
    std::optional<core::time_point> next = m_next_metrics;
    for (const control_service* service : m_services)
    {
        next = earlier(next, service->next_deadline());
    }
    // A deadline already passed is looked at again shortly, never in a busy loop.
    const core::time_point soonest = now + std::chrono::milliseconds(1);
    const core::time_point wake = std::max(next.value_or(soonest), soonest);
    if (m_armed && *m_armed <= wake && *m_armed > now)
    {
        return;
    }
    m_armed = wake;
    m_timer.run_at(wake, [this] {
        m_armed.reset();
        on_timer();
    });
}

void control_plane::on_timer()
{
    const core::time_point now = core::runtime_clock::now();
    for (control_service* service : m_services)
    {
        try
        {
            service->on_timer(now);
        }
        catch (const core::invariant_violation& failure)
        {
            observe::log("invariant_violated", {{"name", failure.what()}});
        }
    }
    if (now >= m_next_metrics)
    {
        m_next_metrics = now + metrics_interval;
        publish_metrics();
    }
    pump();
}

void control_plane::publish_metrics()
{
    observe::metrics& metrics = m_context.m_metrics;
    const net::peer_traffic& traffic = m_peers.traffic();
    metrics.set_control("peer_messages_sent", static_cast<double>(traffic.m_messages_sent));
    metrics.set_control("peer_messages_received", static_cast<double>(traffic.m_messages_received));
    metrics.set_control("peer_bytes_sent", static_cast<double>(traffic.m_bytes_sent));
    metrics.set_control("peer_bytes_received", static_cast<double>(traffic.m_bytes_received));
    metrics.set_control("peer_links", static_cast<double>(m_peers.link_count()));
    const platform_counts& platform = m_context.m_platform.counts();
    metrics.set_control("platform_reads", static_cast<double>(platform.m_reads));
    metrics.set_control("platform_writes", static_cast<double>(platform.m_writes));
    metrics.set_control("platform_failures", static_cast<double>(platform.m_failures));
    metrics.set_control("view",
                        static_cast<double>(core::value_of(m_membership.current().number())));
    metrics.set_control("members", static_cast<double>(m_membership.current().members().size()));
    const auto& applied = m_config.applied();
    metrics.set_control("bundle_version", applied ? static_cast<double>(applied->m_version) : 0);
    const limits::admission_counts& admission = m_limits.admission().counts();
    metrics.set_control("admitted", static_cast<double>(admission.m_admitted));
    metrics.set_control("loans_asked", static_cast<double>(admission.m_loan_requests_sent));
    metrics.set_control("loans_granted", static_cast<double>(admission.m_loans_granted));
    metrics.set_control("active_requests", static_cast<double>(active()));
    metrics.set_control("watched_engines", static_cast<double>(m_routing.watchers().size()));
    const core::invariant_counts invariants = core::read_invariant_counts();
    metrics.set_control("invariants_checked", static_cast<double>(invariants.m_checked));
    metrics.set_control("invariants_violated", static_cast<double>(invariants.m_violated));
}

void control_plane::on_peer_message(core::instance_id from, const wire::message& message)
{
    const core::time_point now = core::runtime_clock::now();
    const bool taken = m_membership.on_message(from, message, now) ||
                       m_routing.on_message(from, message, now) ||
                       m_limits.on_message(from, message, now) ||
                       m_config.on_message(message, now) || m_recovery.on_message(message, now);
    if (!taken)
    {
        observe::log("peer_message_unknown", {{"from", core::value_of(from)}});
    }
    pump();
}

void control_plane::on_view(const membership::view& current)
{
    const core::time_point now = core::runtime_clock::now();
    std::vector<core::instance_id> members;
    for (const membership::member& each : current.members())
    {
        members.push_back(each.m_id);
    }
    m_config.set_members(members);
    m_limits.on_view(current, now);
    m_routing.on_view(now);
}

void control_plane::on_instance_list(const std::vector<membership::listed_instance>& listed,
                                     core::time_point asked_at)
{
    std::vector<core::failure_domain_id> domains;
    for (const membership::listed_instance& each : listed)
    {
        if (each.m_member.m_id != m_context.m_self.m_id)
        {
            domains.push_back(each.m_member.m_domain_id);
        }
    }
    m_config.set_domains(domains);
    m_limits.on_instance_list(listed, asked_at, core::runtime_clock::now());
}

void control_plane::on_gossip(const membership::gossip_item& item)
{
    const core::time_point now = core::runtime_clock::now();
    try
    {
        if (item.m_kind == static_cast<std::uint64_t>(gossip_kind::withdrawal))
        {
            const wire::message message = wire::decode(item.m_payload);
            m_config.on_withdrawal(std::get<wire::withdrawal>(message), now);
            return;
        }
        if (item.m_kind == static_cast<std::uint64_t>(gossip_kind::share_row))
        {
            m_limits.on_share_row(parse_share_row(item.m_payload), now);
            return;
        }
    }
    catch (const std::exception& failure)
    {
        observe::log("gossip_refused", {{"reason", failure.what()}});
        return;
    }
    m_routing.on_gossip(item, now);
}

void control_plane::on_freshness(const config::freshness_word& word,
                                 std::optional<core::time_point> asked_at)
{
    m_config.on_freshness(word, asked_at, core::runtime_clock::now());
}

config::freshness_word control_plane::own_freshness()
{
    return m_config.word(core::runtime_clock::now());
}

void control_plane::on_bundle(const std::shared_ptr<const config::bundle>& applied)
{
    const core::time_point now = core::runtime_clock::now();
    m_limits.on_bundle(*applied, now);
    m_routing.on_bundle(*applied, now);
    m_calls.on_bundle(applied);
    m_placement.on_bundle(applied);
}

void control_plane::on_keys_changed()
{
    m_completions.recheck_keys(core::runtime_clock::now());
}

void control_plane::on_spread_withdrawal(const config::withdrawal& made)
{
    m_membership.spread(gossip_kind::withdrawal, made.m_prefix_high, made.m_bundle_version + 1,
                        wire::encode(made));
}

void control_plane::on_admitted(const limits::admitted& decision)
{
    m_completions.on_admitted(decision);
    m_calls.on_admitted(decision);
}

void control_plane::on_limit_refused(const limits::refused& decision)
{
    m_completions.on_limit_refused(decision);
    m_calls.on_limit_refused(decision);
}

void control_plane::on_share_row_written(const limits::share_row& row)
{
    m_membership.spread(gossip_kind::share_row, core::value_of(row.m_workspace), row.m_version,
                        serialise(row));
}

void control_plane::on_reachable(core::upstream_id upstream, bool reachable)
{
    m_routing.set_reachable(upstream, reachable, core::runtime_clock::now());
}

} // namespace tarragontrail::entry
