// The part of part_attribution that keeps quarantines.
#include "tarragontrail/recovery/part_attribution.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::recovery {

void part_attribution::on_quarantine_notice(const part_quarantine_notice& notice,
                                            core::time_point now)
{
    quarantine added{
        notice.m_parts,
        now + std::min<core::duration>(notice.m_duration, m_settings.m_quarantine_duration),
        notice.m_crashes,
        {}};
    std::erase_if(added.m_parts,
                  [&](std::uint64_t part) { return is_late_repeat(part, notice, now); });
    if (added.m_parts.empty() || added.m_until <= now)
    {
        return;
    }
    std::sort(added.m_parts.begin(), added.m_parts.end());
    start_quarantine(std::move(added));
}

std::vector<part_quarantine_notice> part_attribution::list(core::time_point now) const
{
    std::vector<part_quarantine_notice> active;
    for (const quarantine& each : m_quarantines)
    {
        if (each.m_until > now)
        {
            active.push_back(to_notice(each, now));
        }
    }
    return active;
}

part_quarantine_notice part_attribution::to_notice(const quarantine& what, core::time_point now)
{
    return {what.m_parts, std::chrono::ceil<std::chrono::milliseconds>(what.m_until - now),
            what.m_crashes};
}

const part_attribution::quarantine*
part_attribution::find_quarantine(const std::vector<std::uint64_t>& parts,
                                  core::time_point now) const
{
    const auto refuses = [&](const quarantine& each) {
        return each.m_until > now &&
               std::all_of(each.m_parts.begin(), each.m_parts.end(), [&](std::uint64_t part) {
                   return std::find(parts.begin(), parts.end(), part) != parts.end();
               });
    };
    const auto found = std::find_if(m_quarantines.begin(), m_quarantines.end(), refuses);
    return found == m_quarantines.end() ? nullptr : &*found;
}

/// A part that was cleared after the crashes of a notice stays cleared.
bool part_attribution::is_late_repeat(std::uint64_t part, const part_quarantine_notice& notice,
                                      core::time_point now)
{
    const auto begun = m_begins.last_begin(part);
    if (!begun)
    {
        return false;
    }
    bool is_crash_known = false;
    for (const crash_identity& identity : notice.m_crashes)
    {
        const crash* known = find_crash(identity);
        if (known != nullptr && known->m_first_reported > *begun)
        {
            return false;
        }
        is_crash_known = is_crash_known || known != nullptr;
    }
    return is_crash_known || now - *begun <= m_settings.m_late_notice_window;
}

void part_attribution::start_quarantine(quarantine added)
{
    if (added.m_crashes.size() > m_settings.m_max_quarantine_crashes)
    {
        added.m_crashes.resize(m_settings.m_max_quarantine_crashes);
    }
    // Fewer parts are the better known cause.
    const auto covers = [&](const quarantine& each) {
        return std::includes(added.m_parts.begin(), added.m_parts.end(), each.m_parts.begin(),
                             each.m_parts.end());
    };
    const auto known = std::find_if(m_quarantines.begin(), m_quarantines.end(), covers);
    if (known != m_quarantines.end())
    {
        known->m_announce_at.reset();
    }
    else
    {
        std::erase_if(m_quarantines, [&](const quarantine& each) {
            return std::includes(each.m_parts.begin(), each.m_parts.end(), added.m_parts.begin(),
                                 added.m_parts.end());
        });
        if (m_quarantines.size() >= m_settings.m_max_quarantines)
        {
            m_quarantines.erase(std::min_element(
                m_quarantines.begin(), m_quarantines.end(),
                [](const quarantine& a, const quarantine& b) { return a.m_until < b.m_until; }));
        }
        m_quarantines.push_back(added);
    }
    for (const crash_identity& identity : added.m_crashes)
    {
        if (crash* where = find_crash(identity))
        {
            explain(*where, added.m_parts);
        }
    }
    for (crash& each : m_crashes)
    {
        if (std::includes(each.m_parts.begin(), each.m_parts.end(), added.m_parts.begin(),
                          added.m_parts.end()))
        {
            explain(each, added.m_parts);
        }
    }
}

/// Lifts the quarantine of a part that is sound and drops the part from quarantined groups.
/// Returns whether there was any.
bool part_attribution::lift_quarantines(std::uint64_t part)
{
    bool was_quarantined = false;
    for (quarantine& each : m_quarantines)
    {
        was_quarantined = std::erase(each.m_parts, part) > 0 || was_quarantined;
    }
    std::erase_if(m_quarantines, [](const quarantine& each) { return each.m_parts.empty(); });
    return was_quarantined;
}

} // namespace tarragontrail::recovery
