#include "tarragontrail/relay/part_crash_monitor.hpp"

#include "tarragontrail/net/connection_probe.hpp"
#include "tarragontrail/observe/log.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace tarragontrail::relay {
namespace {

/// A crashed engine refuses at once; one behind a cut does not answer.
constexpr std::chrono::milliseconds probe_limit{300};

std::string text_of(const std::vector<std::uint64_t>& parts)
{
    return fmt::format("{:016x}", fmt::join(parts, ","));
}

} // namespace

part_crash_monitor::part_crash_monitor(boost::asio::io_context& context, core::instance_id self,
                                       recovery::crash_attribution& requests)
    : m_context(context), m_requests(requests),
      m_attribution(recovery::part_attribution_settings{}, self), m_timer(context)
{}

core::duration part_crash_monitor::quarantine_time(const std::vector<std::uint64_t>& parts,
                                                   core::time_point now) const
{
    core::duration longest = core::duration::zero();
    for (const recovery::part_quarantine_notice& entry : m_attribution.list(now))
    {
        const bool has_all =
            std::all_of(entry.m_parts.begin(), entry.m_parts.end(), [&parts](std::uint64_t part) {
                return std::find(parts.begin(), parts.end(), part) != parts.end();
            });
        if (has_all)
        {
            longest = std::max<core::duration>(longest, entry.m_duration);
        }
    }
    return longest;
}

recovery::attempt_id part_crash_monitor::begin_attempt(const std::vector<std::uint64_t>& parts,
                                                       core::upstream_id engine,
                                                       core::time_point now)
{
    const recovery::attempt_id attempt{++m_last_attempt};
    m_attribution.on_dispatched(attempt, parts, engine, now);
    share_evidence();
    return attempt;
}

void part_crash_monitor::on_answer_begun(recovery::attempt_id attempt, core::time_point now)
{
    m_attribution.on_answer_begun(attempt, now);
    share_evidence();
}

void part_crash_monitor::on_ended(recovery::attempt_id attempt, core::time_point now)
{
    m_attribution.on_ended(attempt, now);
}

void part_crash_monitor::on_attempt_lost(recovery::attempt_id attempt,
                                         const upstream_record& engine, core::time_point now)
{
    m_attribution.on_attempt_lost(attempt, now);
    check_engine(engine);
    share_evidence();
}

void part_crash_monitor::on_engine_crashed(core::upstream_id engine, core::incarnation started,
                                           core::time_point now)
{
    m_attribution.on_engine_crashed(engine, started, now);
    share_evidence();
}

void part_crash_monitor::on_evidence(const recovery::part_attribution_action& evidence,
                                     core::time_point now)
{
    if (const auto* report = std::get_if<recovery::part_crash_report>(&evidence))
    {
        m_attribution.on_crash_report(*report, now);
    }
    else if (const auto* sound = std::get_if<recovery::part_exoneration_notice>(&evidence))
    {
        m_attribution.on_exoneration_notice(*sound, now);
    }
    else if (const auto* trial = std::get_if<recovery::part_trial_notice>(&evidence))
    {
        m_attribution.on_trial_notice(*trial, now);
    }
    else
    {
        const auto& notice = std::get<recovery::part_quarantine_notice>(evidence);
        m_attribution.on_quarantine_notice(notice, now);
        m_requests.on_crashes_explained(notice.m_crashes, now);
    }
    share_evidence();
}

void part_crash_monitor::check_engine(const upstream_record& engine)
{
    if (!m_probed.insert(engine.m_id).second)
    {
        return;
    }
    net::probe_connection(
        m_context, engine.m_endpoint, probe_limit,
        [this, id = engine.m_id, started = engine.m_started,
         name = engine.m_name](net::probe_result result) {
            m_probed.erase(id);
            const core::time_point now = core::runtime_clock::now();
            observe::log("engine_probed", {{"upstream", name}, {"result", net::to_string(result)}});
            if (result == net::probe_result::connected)
            {
                m_attribution.on_engine_alive(id, now);
            }
            else if (result == net::probe_result::refused)
            {
                m_requests.on_connection_refused(id, started, now);
                m_attribution.on_engine_crashed(id, started, now);
            }
            share_evidence();
        });
}

/// Logs and sends what the attribution wants to be known, and waits for its next deadline.
void part_crash_monitor::share_evidence()
{
    for (const recovery::part_attribution_action& action : m_attribution.take_actions())
    {
        if (const auto* report = std::get_if<recovery::part_crash_report>(&action))
        {
            observe::log("crash_parts", {{"engine", core::value_of(report->m_engine)},
                                         {"parts", text_of(report->m_parts)}});
        }
        else if (const auto* sound = std::get_if<recovery::part_exoneration_notice>(&action))
        {
            observe::log("parts_cleared", {{"parts", text_of(sound->m_parts)},
                                           {"since_crashes", sound->m_since_crashes}});
        }
        else if (const auto* trial = std::get_if<recovery::part_trial_notice>(&action))
        {
            observe::log("parts_tried", {{"engine", core::value_of(trial->m_engine)},
                                         {"parts", text_of(trial->m_parts)}});
        }
        else
        {
            const auto& notice = std::get<recovery::part_quarantine_notice>(action);
            observe::log("parts_quarantined", {{"parts", text_of(notice.m_parts)},
                                               {"crashes", notice.m_crashes.size()}});
            m_requests.on_crashes_explained(notice.m_crashes, core::runtime_clock::now());
        }
        if (m_sender != nullptr)
        {
            m_sender->send_part_evidence(action);
        }
    }
    const auto deadline = m_attribution.next_deadline();
    if (!deadline)
    {
        m_timer.cancel();
        return;
    }
    m_timer.run_at(*deadline, [this] {
        m_attribution.on_timer(core::runtime_clock::now());
        share_evidence();
    });
}

} // namespace tarragontrail::relay
