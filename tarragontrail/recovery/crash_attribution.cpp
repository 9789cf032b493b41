#include "tarragontrail/recovery/crash_attribution.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::recovery {

crash_attribution::crash_attribution(crash_attribution_settings settings, core::instance_id self)
    : m_settings(settings), m_self(self)
{}

dispatch_verdict crash_attribution::check(std::uint64_t fingerprint, core::upstream_id engine,
                                          core::time_point now) const
{
    const auto held = m_quarantines.find(fingerprint);
    if (held != m_quarantines.end() && held->second.m_until > now)
    {
        return dispatch_verdict::quarantined;
    }
    const auto record = m_suspects.find(fingerprint);
    if (record == m_suspects.end())
    {
        return dispatch_verdict::allowed;
    }
    if (record->second.m_is_suspended)
    {
        return dispatch_verdict::quarantined;
    }
    if (hold_deadline(fingerprint, now))
    {
        return dispatch_verdict::hold;
    }
    const auto running = m_in_flight.find(engine);
    if (running == m_in_flight.end())
    {
        return dispatch_verdict::allowed;
    }
    const bool runs_suspect =
        std::any_of(running->second.begin(), running->second.end(),
                    [this](std::uint64_t other) { return is_suspect(other); });
    return runs_suspect ? dispatch_verdict::hold : dispatch_verdict::allowed;
}

std::optional<core::time_point> crash_attribution::hold_deadline(std::uint64_t fingerprint,
                                                                 core::time_point now) const
{
    // A suspect of several crashes waits for the outcomes of the other requests in these crashes
    // before it may crash another engine.
    const auto record = m_suspects.find(fingerprint);
    if (record == m_suspects.end())
    {
        return std::nullopt;
    }
    const auto counts = [&](std::uint64_t number) {
        return !has_common_cause(fingerprint, crash_by_number(number));
    };
    const std::vector<std::uint64_t>& crashes = record->second.m_crashes;
    const auto counting =
        static_cast<std::uint64_t>(std::count_if(crashes.begin(), crashes.end(), counts));
    const bool is_last_hold =
        separate_crashes(fingerprint, record->second) >= m_settings.m_most_crashes;
    if (counting < m_settings.m_min_crashes && !is_last_hold)
    {
        return std::nullopt;
    }
    const core::time_point until =
        crash_by_number(crashes.back()).m_first_reported +
        (is_last_hold ? m_settings.m_last_hold_time : m_settings.m_max_hold_time);
    return until > now ? std::make_optional(until) : std::nullopt;
}

bool crash_attribution::is_suspect(std::uint64_t fingerprint) const
{
    return m_suspects.contains(fingerprint);
}

void crash_attribution::on_dispatched(std::uint64_t fingerprint, core::upstream_id engine)
{
    m_in_flight[engine].push_back(fingerprint);
}

void crash_attribution::on_finished(std::uint64_t fingerprint, core::upstream_id engine,
                                    bool completed, core::time_point now)
{
    drop_in_flight(fingerprint, engine);
    if (!completed)
    {
        return;
    }
    drop_lost(fingerprint);
    m_recently_cleared[fingerprint] = now;
    if (!is_suspect(fingerprint))
    {
        return;
    }
    exonerate(fingerprint, now);
    m_exonerations_to_repeat.push_back(fingerprint);
    m_actions.emplace_back(send_exoneration_notice{{{fingerprint}, false}});
}

void crash_attribution::on_attempt_lost(std::uint64_t fingerprint, core::upstream_id engine,
                                        core::time_point now)
{
    if (m_lost_attempts.size() >= m_settings.m_max_requests_per_crash)
    {
        drop_in_flight(m_lost_attempts.front().m_fingerprint, m_lost_attempts.front().m_engine);
        m_lost_attempts.pop_front();
    }
    m_lost_attempts.push_back({fingerprint, engine, now + m_settings.m_lost_attempt_lifetime});
}

void crash_attribution::on_engine_crashed(core::upstream_id engine, core::incarnation started,
                                          core::time_point now)
{
    std::vector<std::uint64_t> running;
    if (auto at = m_in_flight.extract(engine))
    {
        running = std::move(at.mapped());
    }
    std::erase_if(m_lost_attempts,
                  [&](const lost_attempt& each) { return each.m_engine == engine; });
    report_crash(engine, started, std::move(running), now);
}

void crash_attribution::on_engine_replaced(core::upstream_id engine, core::incarnation started,
                                           core::time_point now)
{
    std::vector<std::uint64_t> lost;
    for (const lost_attempt& each : m_lost_attempts)
    {
        if (each.m_engine == engine)
        {
            lost.push_back(each.m_fingerprint);
        }
    }
    for (const std::uint64_t fingerprint : lost)
    {
        drop_in_flight(fingerprint, engine);
    }
    std::erase_if(m_lost_attempts,
                  [&](const lost_attempt& each) { return each.m_engine == engine; });
    if (!lost.empty())
    {
        report_crash(engine, started, std::move(lost), now);
    }
}

void crash_attribution::report_crash(core::upstream_id engine, core::incarnation started,
                                     std::vector<std::uint64_t> fingerprints, core::time_point now)
{
    add_requests(record_crash(engine, started, now), fingerprints, now);
    if (!fingerprints.empty())
    {
        m_reports_to_repeat.push_back({m_self, engine, started, std::move(fingerprints)});
        m_actions.emplace_back(send_crash_report{m_reports_to_repeat.back()});
    }
}

void crash_attribution::on_connection_refused(core::upstream_id engine, core::incarnation started,
                                              core::time_point now)
{
    const bool lost =
        std::any_of(m_lost_attempts.begin(), m_lost_attempts.end(),
                    [&](const lost_attempt& each) { return each.m_engine == engine; });
    if (lost)
    {
        on_engine_crashed(engine, started, now);
    }
}

void crash_attribution::on_crash_report(const crash_report& report, core::time_point now)
{
    add_requests(record_crash(report.m_engine, report.m_started, now), report.m_fingerprints, now);
}

void crash_attribution::on_quarantine_notice(const quarantine_notice& notice, core::time_point now)
{
    start_quarantine(notice.m_fingerprint, now + notice.m_duration, 0);
    on_crashes_explained(notice.m_crashes, now);
}

void crash_attribution::on_crashes_explained(const std::vector<crash_identity>& crashes,
                                             core::time_point now)
{
    for (const crash_identity& crashed : crashes)
    {
        mark_explained(record_crash(crashed.m_engine, crashed.m_started, now));
    }
}

void crash_attribution::on_exoneration_notice(const exoneration_notice& notice,
                                              core::time_point now)
{
    for (const std::uint64_t fingerprint : notice.m_fingerprints)
    {
        exonerate(fingerprint, now);
        if (notice.m_by_operator)
        {
            m_quarantines.erase(fingerprint);
        }
    }
}

void crash_attribution::on_timer(core::time_point now)
{
    while (!m_crashes.empty() &&
           m_crashes.front().m_first_reported + m_settings.m_crash_lifetime <= now)
    {
        drop_oldest_crash();
    }
    while (!m_lost_attempts.empty() && m_lost_attempts.front().m_until <= now)
    {
        drop_in_flight(m_lost_attempts.front().m_fingerprint, m_lost_attempts.front().m_engine);
        m_lost_attempts.pop_front();
    }
    std::erase_if(m_quarantines, [&](const auto& item) { return item.second.m_until <= now; });
    std::erase_if(m_recently_cleared, [&](const auto& item) {
        return item.second + m_settings.m_exoneration_lifetime <= now;
    });
    if (m_evaluate_at && *m_evaluate_at <= now)
    {
        m_evaluate_at.reset();
        repeat_messages();
        evaluate_suspects(now);
    }
}

void crash_attribution::repeat_messages()
{
    for (crash_report& report : std::exchange(m_reports_to_repeat, {}))
    {
        m_actions.emplace_back(send_crash_report{std::move(report)});
    }
    if (!m_exonerations_to_repeat.empty())
    {
        m_actions.emplace_back(
            send_exoneration_notice{{std::exchange(m_exonerations_to_repeat, {}), false}});
    }
}

std::optional<core::time_point> crash_attribution::next_deadline() const
{
    std::optional<core::time_point> next = m_evaluate_at;
    if (!m_crashes.empty())
    {
        const core::time_point expiry =
            m_crashes.front().m_first_reported + m_settings.m_crash_lifetime;
        next = next ? std::min(*next, expiry) : expiry;
    }
    if (!m_lost_attempts.empty())
    {
        next = next ? std::min(*next, m_lost_attempts.front().m_until)
                    : m_lost_attempts.front().m_until;
    }
    return next;
}

std::vector<quarantine_entry> crash_attribution::list(core::time_point now) const
{
    std::vector<quarantine_entry> entries;
    for (const auto& [fingerprint, held] : m_quarantines)
    {
        if (held.m_until <= now)
        {
            continue;
        }
        entries.push_back({fingerprint, held.m_crashes, held.m_until});
    }
    return entries;
}

bool crash_attribution::clear(std::uint64_t fingerprint, core::time_point now)
{
    exonerate(fingerprint, now);
    m_actions.emplace_back(send_exoneration_notice{{{fingerprint}, true}});
    return m_quarantines.erase(fingerprint) > 0;
}

std::vector<crash_attribution_action> crash_attribution::take_actions()
{
    return std::exchange(m_actions, {});
}

crash_attribution::crash& crash_attribution::record_crash(core::upstream_id engine,
                                                          core::incarnation started,
                                                          core::time_point at)
{
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const crash& c) {
        return c.m_engine == engine && c.m_started == started;
    });
    if (known != m_crashes.end())
    {
        return *known;
    }
    if (m_crashes.size() >= m_settings.m_max_crashes)
    {
        drop_oldest_crash();
    }
    m_crashes.push_back({m_next_crash_number++, engine, started, at, {}, 0, {}});
    return m_crashes.back();
}

/// Crashes that were kept may become known after later ones.
void crash_attribution::add_crash_of(suspect& record, const crash& where)
{
    const auto behind = std::upper_bound(record.m_crashes.begin(), record.m_crashes.end(), where,
                                         [this](const crash& added, std::uint64_t number) {
                                             return added.m_first_reported <
                                                    crash_by_number(number).m_first_reported;
                                         });
    record.m_crashes.insert(behind, where.m_number);
}

void crash_attribution::add_requests(crash& where, const std::vector<std::uint64_t>& fingerprints,
                                     core::time_point now)
{
    const bool known_cause =
        std::any_of(fingerprints.begin(), fingerprints.end(),
                    [this](std::uint64_t each) { return m_quarantines.contains(each); });
    if (known_cause)
    {
        // Reports of a quarantined request's last crashes may arrive after the quarantine has
        // started.
        mark_explained(where);
    }
    for (const std::uint64_t fingerprint : fingerprints)
    {
        if (where.m_reported_requests >= m_settings.m_max_requests_per_crash)
        {
            break;
        }
        if (where.m_is_explained || m_recently_cleared.contains(fingerprint) ||
            where.m_cleared.contains(fingerprint) || !where.m_requests.insert(fingerprint).second)
        {
            continue;
        }
        ++where.m_reported_requests;
        suspect& record = m_suspects[fingerprint];
        add_crash_of(record, where);
        if (!record.m_is_suspended && has_crashes_enough(fingerprint, record))
        {
            suspend(fingerprint, record);
        }
    }
    schedule_evaluation(now);
}

void crash_attribution::suspend(std::uint64_t fingerprint, suspect& record)
{
    record.m_is_suspended = true;
    crash_history history{fingerprint, {}};
    for (const std::uint64_t number : record.m_crashes)
    {
        const crash& where = crash_by_number(number);
        history.m_crashes.push_back({where.m_engine, where.m_started});
    }
    m_actions.emplace_back(keep_suspension{std::move(history)});
}

void crash_attribution::on_crash_history(const crash_history& history, core::time_point now)
{
    for (const crash_identity& crashed : history.m_crashes)
    {
        add_requests(record_crash(crashed.m_engine, crashed.m_started, now),
                     {history.m_fingerprint}, now);
    }
    // Others of these crashes may have run to completion since, which only those knew that were
    // there.
    const auto found = m_suspects.find(history.m_fingerprint);
    if (found != m_suspects.end() &&
        separate_crashes(history.m_fingerprint, found->second) >= m_settings.m_most_crashes)
    {
        found->second.m_is_suspended = true;
    }
}

void crash_attribution::on_crash_record(const crash_record& record, bool is_kept,
                                        core::time_point now)
{
    if (record.m_age >= m_settings.m_crash_lifetime)
    {
        return;
    }
    crash& where =
        record_crash(record.m_crash.m_engine, record.m_crash.m_started, now - record.m_age);
    add_requests(where, record.m_fingerprints, now);
    const std::unordered_set<std::uint64_t> recorded(record.m_fingerprints.begin(),
                                                     record.m_fingerprints.end());
    const bool has_all =
        std::all_of(where.m_requests.begin(), where.m_requests.end(),
                    [&recorded](std::uint64_t each) { return recorded.contains(each); });
    if (is_kept && has_all)
    {
        where.m_kept_requests = where.m_reported_requests;
    }
}

std::vector<crash_record> crash_attribution::take_unkept(core::time_point now)
{
    std::vector<crash_record> records;
    for (crash& each : m_crashes)
    {
        const core::duration age = now - each.m_first_reported;
        if (each.m_requests.empty() || each.m_reported_requests <= each.m_kept_requests ||
            age < m_settings.m_keep_delay)
        {
            continue;
        }
        each.m_kept_requests = each.m_reported_requests;
        records.push_back({{each.m_engine, each.m_started},
                           std::chrono::duration_cast<std::chrono::milliseconds>(age),
                           {each.m_requests.begin(), each.m_requests.end()}});
    }
    return records;
}

void crash_attribution::forget_kept()
{
    for (crash& each : m_crashes)
    {
        each.m_kept_requests = 0;
    }
}

void crash_attribution::schedule_evaluation(core::time_point now)
{
    if (!m_evaluate_at)
    {
        m_evaluate_at = now + m_settings.m_evaluation_delay;
    }
}

const crash_attribution::crash& crash_attribution::crash_by_number(std::uint64_t number) const
{
    // The numbers of the kept crashes are consecutive.
    return m_crashes.at(number - m_crashes.front().m_number);
}

crash_attribution::crash& crash_attribution::crash_by_number(std::uint64_t number)
{
    return m_crashes.at(number - m_crashes.front().m_number);
}

void crash_attribution::start_quarantine(std::uint64_t fingerprint, core::time_point until,
                                         std::uint64_t crashes)
{
    const bool known = m_quarantines.contains(fingerprint);
    if (!known && m_quarantines.size() >= m_settings.m_max_quarantines)
    {
        // Replace the quarantine that would end first.
        m_quarantines.erase(std::min_element(
            m_quarantines.begin(), m_quarantines.end(),
            [](const auto& a, const auto& b) { return a.second.m_until < b.second.m_until; }));
    }
    quarantine& held = m_quarantines[fingerprint];
    held.m_until = std::max(held.m_until, until);
    held.m_crashes = std::max(held.m_crashes, crashes);
}

void crash_attribution::exonerate(std::uint64_t fingerprint, core::time_point now)
{
    // Crash reports that arrive late or twice must not make the cleared request a suspect again.
    m_recently_cleared[fingerprint] = now;
    schedule_evaluation(now);
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
    {
        return;
    }
    for (const std::uint64_t number : found->second.m_crashes)
    {
        crash& where = crash_by_number(number);
        where.m_requests.erase(fingerprint);
        where.m_cleared.insert(fingerprint);
    }
    m_suspects.erase(found);
}

void crash_attribution::mark_explained(crash& where)
{
    // The cause is known, so the crash is no evidence against other requests.
    where.m_is_explained = true;
    clear_requests(where);
}

void crash_attribution::clear_requests(crash& where)
{
    for (const std::uint64_t member : where.m_requests)
    {
        const auto found = m_suspects.find(member);
        std::erase(found->second.m_crashes, where.m_number);
        suspect& record = found->second;
        if (record.m_crashes.empty())
        {
            m_suspects.erase(found);
            continue;
        }
        record.m_is_suspended = record.m_is_suspended && has_crashes_enough(member, record);
    }
    where.m_requests.clear();
}

void crash_attribution::drop_in_flight(std::uint64_t fingerprint, core::upstream_id engine)
{
    // The engine's list was already removed if its crash was reported.
    const auto at = m_in_flight.find(engine);
    if (at == m_in_flight.end())
    {
        return;
    }
    std::vector<std::uint64_t>& running = at->second;
    const auto found = std::find(running.begin(), running.end(), fingerprint);
    if (found != running.end())
    {
        *found = running.back();
        running.pop_back();
    }
    if (running.empty())
    {
        m_in_flight.erase(at);
    }
}

/// Drops the lost attempts of a request that has run to completion, because it does not crash
/// engines.
void crash_attribution::drop_lost(std::uint64_t fingerprint)
{
    for (const lost_attempt& each : m_lost_attempts)
    {
        if (each.m_fingerprint == fingerprint)
        {
            drop_in_flight(fingerprint, each.m_engine);
        }
    }
    std::erase_if(m_lost_attempts,
                  [&](const lost_attempt& each) { return each.m_fingerprint == fingerprint; });
}

void crash_attribution::drop_oldest_crash()
{
    clear_requests(m_crashes.front());
    m_crashes.pop_front();
}

} // namespace tarragontrail::recovery
