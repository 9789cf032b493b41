// The part of part_attribution that decides whether a part caused the crashes that it was in.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/recovery/part_attribution.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace tarragontrail::recovery {

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
        return !std::binary_search(parts.begin(), parts.end(), other) &&
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

/// A part that was in more crashes, or in as many others, one of them with the suspect, may be the
/// cause instead.
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
                   return !was_sound_before(other) &&
                          !std::binary_search(equal.begin(), equal.end(), other) &&
                          m_suspects.at(other).m_crashes.size() >= record.m_crashes.size();
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
