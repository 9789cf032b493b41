// The part of part_attribution that holds requests with suspects back.
#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/recovery/part_attribution.hpp"

#include <algorithm>

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

} // namespace tarragontrail::recovery
