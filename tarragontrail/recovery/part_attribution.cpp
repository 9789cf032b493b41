#include "tarragontrail/recovery/part_attribution.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragontrail::recovery {

namespace {

std::vector<std::uint64_t> sorted_without_repeats(std::vector<std::uint64_t> parts)
{
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

} // namespace

part_attribution::part_attribution(part_attribution_settings settings, core::instance_id self)
    : m_settings(settings), m_self(self), m_begins(settings.m_max_begins)
{}

void part_attribution::on_dispatched(attempt_id id, const std::vector<std::uint64_t>& parts,
                                     core::upstream_id engine, core::time_point now)
{
    attempt& sent =
        m_attempts.insert_or_assign(id, attempt{sorted_without_repeats(parts), engine, {}, {}, {}})
            .first->second;
    announce_trial(sent, now);
}

void part_attribution::on_answer_begun(attempt_id id, core::time_point now)
{
    const auto begun = m_attempts.extract(id);
    if (begun.empty())
    {
        return;
    }
    part_exoneration_notice notice{{}, true};
    for (const std::uint64_t part : begun.mapped().m_parts)
    {
        if (clear(part, now))
        {
            notice.m_parts.push_back(part);
        }
    }
    if (!notice.m_parts.empty())
    {
        send_twice(std::move(notice), now);
        schedule_evaluation(now);
    }
}

void part_attribution::on_ended(attempt_id id, core::time_point)
{
    m_attempts.erase(id);
}

void part_attribution::on_attempt_lost(attempt_id id, core::time_point now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.m_lost_until)
    {
        return;
    }
    if (m_lost_attempts.size() >= m_settings.m_max_lost_attempts)
    {
        m_attempts.erase(m_lost_attempts.front());
        m_lost_attempts.pop_front();
    }
    m_lost_attempts.push_back(id);
    found->second.m_renew_at.reset();
    found->second.m_lost_until = now + m_settings.m_lost_attempt_lifetime;
    found->second.m_hold_until = now + m_settings.m_lost_hold_time;
}

void part_attribution::on_engine_alive(core::upstream_id engine, core::time_point now)
{
    for (const attempt_id id : m_lost_attempts)
    {
        const auto found = m_attempts.find(id);
        if (found != m_attempts.end() && found->second.m_engine == engine)
        {
            found->second.m_hold_until = std::min(found->second.m_hold_until, now);
        }
    }
}

void part_attribution::on_engine_crashed(core::upstream_id engine, core::incarnation started,
                                         core::time_point now)
{
    part_crash_report report{m_self, engine, started, {}};
    std::erase_if(m_attempts, [&](const auto& each) {
        const attempt& sent = each.second;
        if (sent.m_engine != engine)
        {
            return false;
        }
        report.m_parts.insert(report.m_parts.end(), sent.m_parts.begin(), sent.m_parts.end());
        return true;
    });
    std::erase_if(m_lost_attempts, [&](attempt_id id) { return !m_attempts.contains(id); });
    end_peer_trials(engine, now);
    report.m_parts = sorted_without_repeats(std::move(report.m_parts));
    if (report.m_parts.size() > m_settings.m_max_parts_per_crash)
    {
        report.m_parts.resize(m_settings.m_max_parts_per_crash);
    }
    add_parts(record_crash({engine, started}, now), report.m_parts, true);
    announce_trials_in_flight(now);
    if (report.m_parts.empty())
    {
        return;
    }
    part_exoneration_notice sound{{}, false};
    std::copy_if(report.m_parts.begin(), report.m_parts.end(), std::back_inserter(sound.m_parts),
                 [this](std::uint64_t part) { return was_sound_before(part); });
    send_twice(std::move(report), now);
    if (!sound.m_parts.empty())
    {
        send_twice(std::move(sound), now);
    }
}

void part_attribution::on_crash_report(const part_crash_report& report, core::time_point now)
{
    if (report.m_reporter == m_self)
    {
        return;
    }
    end_peer_trials(report.m_engine, now);
    crash& where = record_crash({report.m_engine, report.m_started}, now);
    add_parts(where, report.m_parts, false);
    schedule_answers(report.m_parts, where.m_first_reported, now);
    announce_trials_in_flight(now);
}

void part_attribution::on_exoneration_notice(const part_exoneration_notice& notice,
                                             core::time_point now)
{
    for (const std::uint64_t part : notice.m_parts)
    {
        if (notice.m_since_crashes)
        {
            clear(part, now);
            continue;
        }
        if (m_suspects.contains(part))
        {
            // An answer of this instance would tell no more.
            m_answers.erase(part);
        }
        if (!was_sound_before(part))
        {
            // Earlier than any crash kept, reports of which may still arrive.
            m_begins.record(part, now - m_settings.m_crash_lifetime);
        }
    }
    schedule_evaluation(now);
}

void part_attribution::on_trial_notice(const part_trial_notice& notice, core::time_point now)
{
    const core::time_point until = now + m_settings.m_trial_lifetime;
    const auto is_same = [&](const peer_trial& each) {
        return each.m_engine == notice.m_engine && each.m_parts == notice.m_parts;
    };
    const auto same = std::find_if(m_peer_trials.begin(), m_peer_trials.end(), is_same);
    if (same != m_peer_trials.end())
    {
        same->m_until = until;
        return;
    }
    if (m_peer_trials.size() >= m_settings.m_max_trials)
    {
        m_peer_trials.erase(std::min_element(
            m_peer_trials.begin(), m_peer_trials.end(),
            [](const peer_trial& a, const peer_trial& b) { return a.m_until < b.m_until; }));
    }
    m_peer_trials.push_back({notice.m_parts, notice.m_engine, until});
}

void part_attribution::on_timer(core::time_point now)
{
    while (!m_crashes.empty() &&
           now - m_crashes.front().m_first_reported >= m_settings.m_crash_lifetime)
    {
        drop_oldest_crash();
    }
    while (!m_lost_attempts.empty())
    {
        const auto oldest = m_attempts.find(m_lost_attempts.front());
        if (oldest != m_attempts.end() && oldest->second.m_lost_until > now)
        {
            break;
        }
        m_attempts.erase(m_lost_attempts.front());
        m_lost_attempts.pop_front();
    }
    // A trial that is over still delays the others by their offsets.
    const core::duration offsets = m_settings.m_own_trial_spread + m_settings.m_trial_spread;
    std::erase_if(m_peer_trials,
                  [&](const peer_trial& each) { return each.m_until + offsets <= now; });
    std::erase_if(m_quarantines, [&](const quarantine& each) { return each.m_until <= now; });
    send_due_repeats(now);
    send_due_answers(now);
    renew_trials(now);
    if (m_evaluate_at && *m_evaluate_at <= now)
    {
        evaluate_suspects(now);
    }
}

std::optional<core::time_point> part_attribution::next_deadline() const
{
    std::optional<core::time_point> next = m_evaluate_at;
    const auto consider = [&next](std::optional<core::time_point> at) {
        if (at && (!next || *at < *next))
        {
            next = at;
        }
    };
    consider(m_renew_at);
    if (!m_crashes.empty())
    {
        consider(m_crashes.front().m_first_reported + m_settings.m_crash_lifetime);
    }
    if (!m_lost_attempts.empty())
    {
        const auto oldest = m_attempts.find(m_lost_attempts.front());
        consider(oldest == m_attempts.end() ? std::nullopt : oldest->second.m_lost_until);
    }
    if (!m_repeats.empty())
    {
        consider(m_repeats.front().m_due);
    }
    for (const auto& [part, due] : m_answers)
    {
        consider(due.m_due);
    }
    for (const quarantine& each : m_quarantines)
    {
        consider(each.m_until);
        consider(each.m_announce_at);
    }
    return next;
}

std::vector<part_attribution_action> part_attribution::take_actions()
{
    return std::exchange(m_actions, {});
}

part_attribution_sizes part_attribution::sizes() const
{
    return {m_begins.size(),
            m_crashes.size(),
            m_suspects.size(),
            m_attempts.size(),
            m_peer_trials.size(),
            m_quarantines.size(),
            m_repeats.size() + m_answers.size()};
}

void part_attribution::send_twice(part_attribution_action message, core::time_point now)
{
    if (m_repeats.size() < m_settings.m_max_pending_messages)
    {
        m_repeats.push_back({now + m_settings.m_repeat_delay, message});
    }
    m_actions.push_back(std::move(message));
}

void part_attribution::send_due_repeats(core::time_point now)
{
    for (; !m_repeats.empty() && m_repeats.front().m_due <= now; m_repeats.pop_front())
    {
        part_attribution_action& message = m_repeats.front().m_message;
        const auto* notice = std::get_if<part_quarantine_notice>(&message);
        if (notice == nullptr || find_quarantine(notice->m_parts, now) != nullptr)
        {
            m_actions.push_back(std::move(message));
        }
    }
}

void part_attribution::announce_trial(attempt& sent, core::time_point now)
{
    part_trial_notice notice{{}, sent.m_engine};
    std::copy_if(sent.m_parts.begin(), sent.m_parts.end(), std::back_inserter(notice.m_parts),
                 [&](std::uint64_t part) { return is_held(part, now); });
    sent.m_renew_at.reset();
    if (notice.m_parts.empty())
    {
        return;
    }
    sent.m_renew_at = now + m_settings.m_trial_renewal;
    m_renew_at = std::min(m_renew_at.value_or(*sent.m_renew_at), *sent.m_renew_at);
    m_actions.emplace_back(std::move(notice));
}

/// Attempts that were sent before their parts became suspects serve as trials.
void part_attribution::announce_trials_in_flight(core::time_point now)
{
    for (auto& [id, sent] : m_attempts)
    {
        if (!sent.m_lost_until && !sent.m_renew_at)
        {
            announce_trial(sent, now);
        }
    }
}

void part_attribution::renew_trials(core::time_point now)
{
    if (!m_renew_at || *m_renew_at > now)
    {
        return;
    }
    m_renew_at.reset();
    for (auto& [id, sent] : m_attempts)
    {
        if (!sent.m_renew_at)
        {
            continue;
        }
        if (*sent.m_renew_at <= now)
        {
            announce_trial(sent, now);
            continue;
        }
        m_renew_at = std::min(m_renew_at.value_or(*sent.m_renew_at), *sent.m_renew_at);
    }
}

/// The report of a peer whose trial crashed the engine may arrive after other reports of the crash;
/// its parts are held until then.
void part_attribution::end_peer_trials(core::upstream_id engine, core::time_point now)
{
    for (peer_trial& each : m_peer_trials)
    {
        if (each.m_engine == engine)
        {
            each.m_until = std::min(each.m_until, now + m_settings.m_trial_delay);
        }
    }
}

bool part_attribution::clear(std::uint64_t part, core::time_point now)
{
    m_begins.record(part, now);
    const bool was_quarantined = lift_quarantines(part);
    m_answers.erase(part);
    for (peer_trial& each : m_peer_trials)
    {
        std::erase(each.m_parts, part);
    }
    std::erase_if(m_peer_trials, [](const peer_trial& each) { return each.m_parts.empty(); });
    const auto cleared = m_suspects.extract(part);
    if (cleared.empty())
    {
        return was_quarantined;
    }
    for (const std::uint64_t number : cleared.mapped().m_crashes)
    {
        std::erase(crash_by_number(number).m_parts, part);
    }
    return true;
}

} // namespace tarragontrail::recovery
