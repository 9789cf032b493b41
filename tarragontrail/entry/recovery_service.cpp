#include "tarragontrail/entry/recovery_service.hpp"

#include "tarragontrail/net/connection_probe.hpp"
#include "tarragontrail/observe/log.hpp"

#include <type_traits>

namespace tarragontrail::entry {
namespace {

constexpr std::chrono::milliseconds probe_timeout{1000};

} // namespace

recovery_service::recovery_service(control_context& context, membership_service& membership,
                                   recovery_listener& listener, std::uint64_t seed)
    : m_context(context), m_membership(membership), m_listener(listener),
      m_crash_attribution(recovery::crash_attribution_settings{}, context.m_self.m_id),
      m_budget(recovery::retry_budget_settings{}, seed, core::runtime_clock::now()),
      m_health(recovery::connection_health_settings{}, seed + 1)
{}

bool recovery_service::on_message(const wire::message& message, core::time_point now)
{
    if (const auto* report = std::get_if<wire::crash_report>(&message))
    {
        m_crash_attribution.on_crash_report(*report, now);
        return true;
    }
    if (const auto* notice = std::get_if<wire::quarantine_notice>(&message))
    {
        m_crash_attribution.on_quarantine_notice(*notice, now);
        return true;
    }
    if (const auto* cleared = std::get_if<wire::exoneration_notice>(&message))
    {
        m_crash_attribution.on_exoneration_notice(*cleared, now);
        return true;
    }
    return false;
}

void recovery_service::set_endpoint(core::upstream_id upstream, const net::tcp::endpoint& endpoint)
{
    m_endpoints[upstream] = endpoint;
}

void recovery_service::on_attempt(core::upstream_id upstream, connection_outcome outcome,
                                  core::time_point now)
{
    if (outcome == connection_outcome::not_made)
    {
        m_health.on_open_failed(upstream, now);
        return;
    }
    // One connection of the core stands for one attempt.
    const recovery::connection_id connection{m_next_connection++};
    m_health.on_opened(connection, upstream, now);
    if (outcome != connection_outcome::lost_fresh)
    {
        m_health.on_received(connection, true, now);
    }
    if (outcome == connection_outcome::worked)
    {
        m_health.on_closed(connection);
        return;
    }
    m_health.on_failed(connection, now);
}

bool recovery_service::run_actions(core::time_point now)
{
    const auto attribution_actions = m_crash_attribution.take_actions();
    for (const auto& action : attribution_actions)
    {
        if (const auto* crash = std::get_if<recovery::send_crash_report>(&action))
        {
            observe::log("engine_crashed", {{"engine", core::value_of(crash->m_report.m_engine)},
                                            {"in_flight", crash->m_report.m_fingerprints.size()}});
            m_membership.broadcast(crash->m_report);
        }
        else if (const auto* quarantine = std::get_if<recovery::send_quarantine_notice>(&action))
        {
            observe::log("quarantined", {{"fingerprint", quarantine->m_notice.m_fingerprint}});
            m_membership.broadcast(quarantine->m_notice);
        }
        else if (const auto* suspended = std::get_if<recovery::keep_suspension>(&action))
        {
            observe::log("suspended", {{"fingerprint", suspended->m_history.m_fingerprint},
                                       {"crashes", suspended->m_history.m_crashes.size()}});
        }
        else
        {
            m_membership.broadcast(std::get<recovery::send_exoneration_notice>(action).m_notice);
        }
    }

    const auto health = m_health.take_actions();
    for (const auto& action : health)
    {
        if (const auto* changed = std::get_if<recovery::circuit_changed>(&action))
        {
            const bool closed = changed->m_state == recovery::circuit_state::closed;
            observe::log("circuit_changed", {{"upstream", core::value_of(changed->m_upstream)},
                                             {"reachable", closed}});
            m_listener.on_reachable(changed->m_upstream, closed);
        }
        else if (const auto* open = std::get_if<recovery::open_connection>(&action))
        {
            probe(open->m_upstream);
        }
    }
    m_budget.on_instance_count(std::max<std::size_t>(1, m_membership.current().members().size()),
                               now);
    return !attribution_actions.empty() || !health.empty();
}

std::optional<core::time_point> recovery_service::next_deadline() const
{
    return earlier(m_crash_attribution.next_deadline(), m_health.next_deadline());
}

void recovery_service::on_timer(core::time_point now)
{
    m_crash_attribution.on_timer(now);
    m_health.on_timer(now);
}

void recovery_service::probe(core::upstream_id upstream)
{
    const auto found = m_endpoints.find(upstream);
    if (found == m_endpoints.end())
    {
        return;
    }
    net::probe_connection(m_context.m_control.context(), found->second, probe_timeout,
                          [this, upstream](net::probe_result result) {
                              on_attempt(upstream,
                                         result == net::probe_result::connected
                                             ? connection_outcome::worked
                                             : connection_outcome::not_made,
                                         core::runtime_clock::now());
                              m_context.m_pump();
                          });
}

} // namespace tarragontrail::entry
