// The part of part_attribution that decides on holds, convictions and quarantines.
#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/recovery/part_attribution.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace tarragontrail::recovery {

namespace {

bool contains(const std::vector<std::uint64_t>& parts, std::uint64_t part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

dispatch_verdict part_attribution::check(const std::vector<std::uint64_t>& parts,
                                         core::upstream_id engine, core::time_point now) const
{
    if (is_quarantined(parts, now))
    {
        return dispatch_verdict::quarantined;
    }
    if (m_suspects.empty() && m_lost_attempts.empty() && m_quarantines.empty())
    {
        return dispatch_verdict::allowed;
    }
    const core::duration extra =
        is_ambiguous(parts) ? core::duration{m_settings.m_ambiguous_trial_delay} : core::duration{};
    bool has_held = false;
    for (const std::uint64_t part : parts)
    {
        if (is_lost_with(part, now))
        {
            return dispatch_verdict::hold;
        }
        if (!is_held(part, now))
        {
            continue;
        }
        has_held = true;
        if (now < trial_time(part) + extra || is_on_trial(part, now))
        {
            return dispatch_verdict::hold;
        }
    }
    return has_held && runs_suspect(engine, now) ? dispatch_verdict::hold
                                                 : dispatch_verdict::allowed;
}

bool part_attribution::is_quarantined(const std::vector<std::uint64_t>& parts,
                                      core::time_point now) const
{
    return find_quarantine(parts, now) != nullptr;
}

bool part_attribution::was_sound_before(std::uint64_t part) const
{
    return m_begins.last_begin(part).has_value();
}

bool part_attribution::is_held(std::uint64_t part, core::time_point now) const
{
    const auto found = m_suspects.find(part);
    if (found != m_suspects.end())
    {
        std::vector<std::uint64_t> crashes = found->second.m_crashes;
        const bool is_sound = was_sound_before(part);
        const bool is_spared = is_sound && now - crash_by_number(crashes.front()).m_first_reported <
                                               m_settings.m_sound_grace;
        std::erase_if(crashes, [&](std::uint64_t number) {
            const crash& own = crash_by_number(number);
            return is_sound ? has_common_cause(part, own) : is_one_of_several(part, own);
        });
        if (!is_spared && distinct_times(crashes) >= (is_sound ? m_settings.m_min_crashes : 1))
        {
            return true;
        }
    }
    // A part that was quarantined with others is tried alone.
    return std::any_of(m_quarantines.begin(), m_quarantines.end(), [&](const quarantine& each) {
        return each.m_until > now && each.m_parts.size() > 1 && contains(each.m_parts, part);
    });
}

bool part_attribution::is_lost_with(std::uint64_t part, core::time_point now) const
{
    if (m_lost_attempts.empty() || was_sound_before(part))
    {
        return false;
    }
    return std::any_of(m_lost_attempts.begin(), m_lost_attempts.end(), [&](attempt_id id) {
        const auto found = m_attempts.find(id);
        return found != m_attempts.end() && found->second.m_hold_until > now &&
               contains(found->second.m_parts, part);
    });
}

bool part_attribution::is_on_trial(std::uint64_t part, core::time_point now) const
{
    const core::duration offset = trial_offset(part, false);
    const auto is_peer_trial = [&](const peer_trial& each) {
        return each.m_until + offset > now && contains(each.m_parts, part);
    };
    const auto is_in_flight = [&](const auto& each) {
        return !each.second.m_lost_until && contains(each.second.m_parts, part);
    };
    return std::any_of(m_peer_trials.begin(), m_peer_trials.end(), is_peer_trial) ||
           std::any_of(m_attempts.begin(), m_attempts.end(), is_in_flight);
}

bool part_attribution::runs_suspect(core::upstream_id engine, core::time_point now) const
{
    const auto has_held = [&](const std::vector<std::uint64_t>& parts) {
        return std::any_of(parts.begin(), parts.end(),
                           [&](std::uint64_t part) { return is_held(part, now); });
    };
    const auto is_peer_trial = [&](const peer_trial& each) {
        return each.m_engine == engine && each.m_until > now && has_held(each.m_parts);
    };
    const auto is_in_flight = [&](const auto& each) {
        const attempt& sent = each.second;
        return sent.m_engine == engine && !sent.m_lost_until && has_held(sent.m_parts);
    };
    return std::any_of(m_peer_trials.begin(), m_peer_trials.end(), is_peer_trial) ||
           std::any_of(m_attempts.begin(), m_attempts.end(), is_in_flight);
}

bool part_attribution::is_ambiguous(const std::vector<std::uint64_t>& parts) const
{
    const suspect* first = nullptr;
    for (const std::uint64_t part : parts)
    {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end())
        {
            continue;
        }
        if (first != nullptr && first->m_crashes == found->second.m_crashes)
        {
            return true;
        }
        first = &found->second;
    }
    return false;
}

core::time_point part_attribution::trial_time(std::uint64_t part) const
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end())
    {
        return {};
    }
    const suspect& record = found->second;
    const bool is_repeated = !was_sound_before(part) && distinct_times(record.m_crashes) > 1;
    return crash_by_number(record.m_crashes.back()).m_first_reported +
           (is_repeated ? m_settings.m_repeated_trial_delay : m_settings.m_trial_delay) +
           trial_offset(part, record.m_own_crash == record.m_crashes.back());
}

/// Instances start trials of a part at different times, so that few of them start one at once.
core::duration part_attribution::trial_offset(std::uint64_t part, bool was_own) const
{
    const std::uint64_t hash = core::hash_pair(core::value_of(m_self), part);
    const core::duration own = m_settings.m_own_trial_spread;
    const core::duration others = m_settings.m_trial_spread;
    const auto within = [hash](core::duration spread) {
        return core::duration(hash % static_cast<std::uint64_t>(spread.count() + 1));
    };
    return was_own ? within(own) : own + within(others);
}

std::size_t part_attribution::distinct_times(const std::vector<std::uint64_t>& crashes) const
{
    std::size_t times = 0;
    core::time_point last{};
    for (const std::uint64_t number : crashes)
    {
        const core::time_point at = crash_by_number(number).m_first_reported;
        if (times == 0 || at - last > m_settings.m_simultaneous_window)
        {
            ++times;
            last = at;
        }
    }
    return times;
}

bool part_attribution::has_crashes_without(std::uint64_t part, const crash& own,
                                           core::duration within, std::size_t count,
                                           bool with_recurrent) const
{
    for (const crash& each : m_crashes)
    {
        if (each.m_is_explained ||
            std::chrono::abs(each.m_first_reported - own.m_first_reported) > within ||
            std::binary_search(each.m_parts.begin(), each.m_parts.end(), part) ||
            (!with_recurrent &&
             std::any_of(each.m_parts.begin(), each.m_parts.end(),
                         [this](std::uint64_t other) { return is_recurrent(other); })))
        {
            continue;
        }
        --count;
        if (count == 0)
        {
            return true;
        }
    }
    return false;
}

bool part_attribution::is_recurrent(std::uint64_t part) const
{
    const suspect& record = m_suspects.at(part);
    if (record.m_crashes.size() <= m_settings.m_min_crashes || was_sound_before(part) ||
        distinct_times(record.m_crashes) <= m_settings.m_min_crashes)
    {
        return false;
    }
    std::vector<std::uint64_t> crashes = record.m_crashes;
    std::erase_if(crashes, [&](std::uint64_t number) {
        return has_crashes_without(part, crash_by_number(number), m_settings.m_simultaneous_window,
                                   1, true);
    });
    return distinct_times(crashes) >= m_settings.m_min_crashes;
}

bool part_attribution::is_one_of_several(std::uint64_t part, const crash& own) const
{
    return has_crashes_without(part, own, m_settings.m_simultaneous_window, 1, false);
}

bool part_attribution::has_common_cause(std::uint64_t part, const crash& own) const
{
    return is_one_of_several(part, own) ||
           has_crashes_without(part, own, m_settings.m_common_cause_window,
                               m_settings.m_common_cause_crashes, false);
}

/// Another part of the crash may be its cause: it was not sound before, or it was in more crashes
/// since.
bool part_attribution::may_have_other_cause(const std::vector<std::uint64_t>& parts,
                                            const crash& own) const
{
    return std::any_of(own.m_parts.begin(), own.m_parts.end(), [&](std::uint64_t other) {
        return !contains(parts, other) &&
               (!was_sound_before(other) || m_suspects.at(other).m_crashes.size() > 1);
    });
}

/// The suspect and those that were in all of its crashes.
std::vector<std::uint64_t> part_attribution::equal_suspects(const suspect& record) const
{
    std::vector<std::uint64_t> equal;
    for (const std::uint64_t other : crash_by_number(record.m_crashes.back()).m_parts)
    {
        const std::vector<std::uint64_t>& crashes = m_suspects.at(other).m_crashes;
        if (std::includes(crashes.begin(), crashes.end(), record.m_crashes.begin(),
                          record.m_crashes.end()))
        {
            equal.push_back(other);
        }
    }
    return equal;
}

bool part_attribution::has_enough_evidence(std::uint64_t part, const suspect& record,
                                           const std::vector<std::uint64_t>& equal,
                                           core::time_point now) const
{
    if (was_sound_before(part) && sound_trial_end(record) > now)
    {
        return false;
    }
    std::vector<std::uint64_t> settled = record.m_crashes;
    std::erase_if(settled, [&](std::uint64_t number) {
        return crash_by_number(number).m_first_reported + m_settings.m_evaluation_delay > now;
    });
    const std::size_t sound = was_sound_before(part) ? 1 : 0;
    std::erase_if(settled, [&](std::uint64_t number) {
        return is_one_of_several(part, crash_by_number(number));
    });
    if (distinct_times(settled) >= m_settings.m_max_needed_crashes + sound)
    {
        return true;
    }
    std::erase_if(settled, [&](std::uint64_t number) {
        return has_common_cause(part, crash_by_number(number));
    });
    const bool is_open = std::any_of(settled.begin(), settled.end(), [&](std::uint64_t number) {
        return may_have_other_cause(equal, crash_by_number(number));
    });
    return distinct_times(settled) >= m_settings.m_min_crashes + sound + (is_open ? 1 : 0);
}

core::time_point part_attribution::sound_trial_end(const suspect& record) const
{
    return crash_by_number(record.m_crashes.front()).m_first_reported +
           m_settings.m_sound_trial_time;
}

void part_attribution::schedule_evaluation(core::time_point at)
{
    m_evaluate_at = std::min(m_evaluate_at.value_or(at), at);
}

void part_attribution::evaluate_suspects(core::time_point now)
{
    m_evaluate_at.reset();
    for (const crash& each : m_crashes)
    {
        if (each.m_first_reported + m_settings.m_evaluation_delay > now)
        {
            schedule_evaluation(each.m_first_reported + m_settings.m_evaluation_delay);
            break;
        }
    }
    for (const std::uint64_t part : repeated_suspects(now))
    {
        // An earlier conviction of this loop may have explained the crashes of this suspect.
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end())
        {
            continue;
        }
        const std::vector<std::uint64_t> equal = equal_suspects(found->second);
        if (!has_likelier_suspect(found->second, equal) && find_quarantine(equal, now) == nullptr &&
            has_enough_evidence(part, found->second, equal, now))
        {
            convict(equal, now);
        }
    }
}

/// Suspects of several crashes: those of most crashes first, then those with the fewest other parts
/// in them.
std::vector<std::uint64_t> part_attribution::repeated_suspects(core::time_point now)
{
    std::vector<std::tuple<std::size_t, double, std::uint64_t>> ranked;
    for (const auto& [part, record] : m_suspects)
    {
        if (record.m_crashes.size() < m_settings.m_min_crashes)
        {
            continue;
        }
        if (was_sound_before(part) && sound_trial_end(record) > now)
        {
            schedule_evaluation(sound_trial_end(record));
        }
        double shares = 0;
        for (const std::uint64_t number : record.m_crashes)
        {
            shares += 1.0 / static_cast<double>(crash_by_number(number).m_parts.size());
        }
        ranked.emplace_back(record.m_crashes.size(), shares, part);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<std::uint64_t> parts;
    parts.reserve(ranked.size());
    for (const auto& [crashes, shares, part] : ranked)
    {
        parts.push_back(part);
    }
    return parts;
}

/// A part that was in more crashes, one or all of them with the suspect, has its verdict first.
bool part_attribution::has_likelier_suspect(const suspect& record,
                                            const std::vector<std::uint64_t>& equal) const
{
    const auto is_likelier = [&](std::uint64_t other) {
        return m_suspects.at(other).m_crashes.size() > record.m_crashes.size();
    };
    if (std::any_of(equal.begin(), equal.end(), is_likelier))
    {
        return true;
    }
    return distinct_times(record.m_crashes) < m_settings.m_max_needed_crashes &&
           std::any_of(record.m_crashes.begin(), record.m_crashes.end(), [&](std::uint64_t number) {
               const std::vector<std::uint64_t>& parts = crash_by_number(number).m_parts;
               return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t other) {
                   return !was_sound_before(other) && is_likelier(other);
               });
           });
}

void part_attribution::convict(std::vector<std::uint64_t> parts, core::time_point now)
{
    const std::vector<std::uint64_t>& crashes = m_suspects.at(parts.front()).m_crashes;
    TARRAGONTRAIL_INVARIANT(crashes.size() >= m_settings.m_min_crashes,
                            "part_quarantine_needs_two_crashes");
    quarantine added{std::move(parts), now + m_settings.m_quarantine_duration, {}, {}};
    for (const std::uint64_t number : crashes)
    {
        added.m_crashes.push_back(crash_by_number(number).m_identity);
    }
    send_twice(to_notice(added, now), now);
    start_quarantine(std::move(added));
}

} // namespace tarragontrail::recovery
