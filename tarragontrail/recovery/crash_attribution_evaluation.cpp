// The part of crash_attribution that evaluates whether a request caused the crashes that it was in.
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/recovery/crash_attribution.hpp"

#include <algorithm>

namespace tarragontrail::recovery {
namespace {

/// Reports of engines that end at once arrive within this time.
constexpr std::chrono::milliseconds one_moment{300};

} // namespace

std::uint64_t crash_attribution::needed_crashes(std::uint64_t fingerprint,
                                                const suspect& record) const
{
    std::uint64_t needed = m_settings.m_min_crashes;
    std::vector<core::time_point> times;
    bool one_engine = true;
    bool others_open = false;
    for (const std::uint64_t number : record.m_crashes)
    {
        const crash& own = crash_by_number(number);
        times.push_back(own.m_first_reported);
        others_open = others_open || own.m_requests.size() > 1;
        one_engine =
            one_engine && own.m_engine == crash_by_number(record.m_crashes.front()).m_engine;
    }

    // If all crashes were at one engine, the engine itself may be faulty.
    needed += one_engine ? 1 : 0;

    // While other requests of these crashes are not cleared, two of them may be the causes.
    needed += others_open ? 1 : 0;

    // Crashes without this request at about the same time indicate another cause.
    for (const crash& other : m_crashes)
    {
        const bool near = std::any_of(times.begin(), times.end(), [&](core::time_point own) {
            const core::duration apart = other.m_first_reported - own;
            return std::chrono::abs(apart) <= m_settings.m_unrelated_window;
        });
        needed += near && !other.m_is_explained && !other.m_requests.contains(fingerprint) ? 1 : 0;
    }
    return std::min(needed, m_settings.m_max_needed_crashes);
}

bool crash_attribution::has_equal_suspect(std::uint64_t fingerprint, const suspect& record) const
{
    // Another request that was in all of these crashes is an equally likely cause.
    const crash& last = crash_by_number(record.m_crashes.back());
    return std::any_of(last.m_requests.begin(), last.m_requests.end(), [&](std::uint64_t other) {
        const auto in_crash = [&](std::uint64_t number) {
            return crash_by_number(number).m_requests.contains(other);
        };
        return other != fingerprint &&
               std::all_of(record.m_crashes.begin(), record.m_crashes.end(), in_crash);
    });
}

bool crash_attribution::is_evidence(std::uint64_t fingerprint, std::uint64_t number) const
{
    // A crash is evidence only if this request was alone in it, or another of its requests was
    // cleared since, because it ran to completion elsewhere.
    const crash& own = crash_by_number(number);
    if (own.m_reported_requests > 1 && own.m_cleared.empty())
    {
        return false;
    }

    return !has_common_cause(fingerprint, own) && !has_suspended_other(fingerprint, own);
}

/// Another request of the crash is suspended, and is as likely its cause.
bool crash_attribution::has_suspended_other(std::uint64_t fingerprint, const crash& own) const
{
    return std::any_of(own.m_requests.begin(), own.m_requests.end(), [&](std::uint64_t other) {
        const auto found = m_suspects.find(other);
        return other != fingerprint && found != m_suspects.end() && found->second.m_is_suspended;
    });
}

/// Several simultaneous crashes of engines without this request indicate a common cause.
bool crash_attribution::has_common_cause(std::uint64_t fingerprint, const crash& own) const
{
    const auto at_once = [&](const crash& other) {
        return std::chrono::abs(other.m_first_reported - own.m_first_reported) <=
                   m_settings.m_common_cause_window &&
               !other.m_is_explained && !other.m_requests.contains(fingerprint);
    };
    const auto others =
        static_cast<std::uint64_t>(std::count_if(m_crashes.begin(), m_crashes.end(), at_once));
    return others >= m_settings.m_common_cause_crashes;
}

/// Crashes of a suspect, with those of one moment that have a common cause counted as one.
std::uint64_t crash_attribution::separate_crashes(std::uint64_t fingerprint,
                                                  const suspect& record) const
{
    std::uint64_t count = 0;
    std::optional<core::time_point> moment;
    for (const std::uint64_t number : record.m_crashes)
    {
        const crash& own = crash_by_number(number);
        const bool is_of_moment = moment && own.m_first_reported - *moment <= one_moment;
        if (is_of_moment && has_common_cause(fingerprint, own))
        {
            continue;
        }
        ++count;
        moment = own.m_first_reported;
    }
    return count;
}

/// Whether nothing else may have caused the crashes of a suspect: all other requests in them have
/// run to completion since, and no other engines crashed at the same time.
bool crash_attribution::is_only_explanation(std::uint64_t fingerprint, const suspect& record) const
{
    return std::all_of(record.m_crashes.begin(), record.m_crashes.end(), [&](std::uint64_t number) {
        const crash& own = crash_by_number(number);
        return own.m_requests.size() == 1 && !has_common_cause(fingerprint, own);
    });
}

bool crash_attribution::has_crashes_enough(std::uint64_t fingerprint, const suspect& record) const
{
    const std::uint64_t crashes = separate_crashes(fingerprint, record);
    return crashes >= m_settings.m_most_open_crashes ||
           (crashes >= m_settings.m_most_crashes && is_only_explanation(fingerprint, record));
}

bool crash_attribution::is_confirmed_cause(std::uint64_t fingerprint, const suspect& record) const
{
    const auto supports = [&](std::uint64_t number) { return is_evidence(fingerprint, number); };
    const auto supporting = static_cast<std::uint64_t>(
        std::count_if(record.m_crashes.begin(), record.m_crashes.end(), supports));
    return supporting >= m_settings.m_min_crashes &&
           supporting >= needed_crashes(fingerprint, record) &&
           !has_equal_suspect(fingerprint, record);
}

void crash_attribution::evaluate_suspects(core::time_point now)
{
    std::vector<std::uint64_t> confirmed;
    for (auto& [fingerprint, record] : m_suspects)
    {
        // Others of its crashes may have run to completion since.
        if (!record.m_is_suspended && has_crashes_enough(fingerprint, record))
        {
            suspend(fingerprint, record);
        }
        if (is_confirmed_cause(fingerprint, record))
        {
            confirmed.push_back(fingerprint);
        }
    }
    std::sort(confirmed.begin(), confirmed.end());
    for (const std::uint64_t fingerprint : confirmed)
    {
        // An earlier quarantine of this loop may have explained the crashes of this suspect.
        const auto found = m_suspects.find(fingerprint);
        if (found == m_suspects.end() || !is_confirmed_cause(fingerprint, found->second))
        {
            continue;
        }
        const std::vector<std::uint64_t> crashes = found->second.m_crashes;
        TARRAGONTRAIL_INVARIANT(crashes.size() >= 2, "quarantine_needs_two_crashes");
        start_quarantine(fingerprint, now + m_settings.m_quarantine_duration, crashes.size());
        quarantine_notice notice{fingerprint, m_settings.m_quarantine_duration, {}};
        for (const std::uint64_t number : crashes)
        {
            crash& where = crash_by_number(number);
            notice.m_crashes.push_back({where.m_engine, where.m_started});
            mark_explained(where);
        }
        m_actions.emplace_back(send_quarantine_notice{std::move(notice)});
    }
}

} // namespace tarragontrail::recovery
