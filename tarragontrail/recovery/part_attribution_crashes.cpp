// The part of part_attribution that keeps crashes and answers peers' reports of them.
#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/recovery/part_attribution.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragontrail::recovery {

part_attribution::crash* part_attribution::find_crash(const crash_identity& identity)
{
    const auto found = std::find_if(m_crashes.rbegin(), m_crashes.rend(),
                                    [&](const crash& each) { return each.m_identity == identity; });
    return found == m_crashes.rend() ? nullptr : &*found;
}

const part_attribution::crash& part_attribution::crash_by_number(std::uint64_t number) const
{
    return m_crashes[number - m_crashes.front().m_number];
}

part_attribution::crash& part_attribution::crash_by_number(std::uint64_t number)
{
    return m_crashes[number - m_crashes.front().m_number];
}

part_attribution::crash& part_attribution::record_crash(const crash_identity& identity,
                                                        core::time_point now)
{
    schedule_evaluation(now + m_settings.m_evaluation_delay);
    if (crash* known = find_crash(identity))
    {
        return *known;
    }
    if (m_crashes.size() >= m_settings.m_max_crashes)
    {
        drop_oldest_crash();
    }
    const auto is_explained_by = [&](const quarantine& each) {
        return std::find(each.m_crashes.begin(), each.m_crashes.end(), identity) !=
               each.m_crashes.end();
    };
    m_crashes.push_back({m_next_crash_number++, identity, now, {}, false});
    m_crashes.back().m_is_explained =
        std::any_of(m_quarantines.begin(), m_quarantines.end(), is_explained_by);
    return m_crashes.back();
}

void part_attribution::add_parts(crash& where, const std::vector<std::uint64_t>& parts,
                                 bool are_own)
{
    if (where.m_is_explained)
    {
        return;
    }
    for (const std::uint64_t part : parts)
    {
        const auto begun = m_begins.last_begin(part);
        if (begun && *begun >= where.m_first_reported)
        {
            continue;
        }
        const auto at = std::lower_bound(where.m_parts.begin(), where.m_parts.end(), part);
        if (at == where.m_parts.end() || *at != part)
        {
            if (where.m_parts.size() >= m_settings.m_max_parts_per_crash)
            {
                continue;
            }
            where.m_parts.insert(at, part);
            std::vector<std::uint64_t>& crashes = m_suspects[part].m_crashes;
            crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), where.m_number),
                           where.m_number);
        }
        if (are_own)
        {
            m_suspects[part].m_own_crash = where.m_number;
        }
    }
    const auto explains = [&](const quarantine& each) {
        return std::includes(where.m_parts.begin(), where.m_parts.end(), each.m_parts.begin(),
                             each.m_parts.end());
    };
    const auto cause = std::find_if(m_quarantines.begin(), m_quarantines.end(), explains);
    if (cause != m_quarantines.end())
    {
        explain(where, cause->m_parts);
    }
}

/// Parts of a quarantined group stay suspects, until the cause among them is known.
void part_attribution::explain(crash& where, const std::vector<std::uint64_t>& cause)
{
    where.m_is_explained = true;
    std::vector<std::uint64_t> kept;
    for (const std::uint64_t part : where.m_parts)
    {
        if (cause.size() > 1 && std::binary_search(cause.begin(), cause.end(), part))
        {
            kept.push_back(part);
            continue;
        }
        const auto found = m_suspects.find(part);
        std::erase(found->second.m_crashes, where.m_number);
        if (found->second.m_crashes.empty())
        {
            m_suspects.erase(found);
        }
    }
    where.m_parts = std::move(kept);
}

void part_attribution::drop_oldest_crash()
{
    explain(m_crashes.front(), {});
    m_crashes.pop_front();
}

/// With each instance's delay drawn from an exponential distribution that ends at the window, few
/// of several hundred instances answer before the first answer reaches them.
core::duration part_attribution::answer_delay(std::uint64_t key) const
{
    constexpr double steepness = 6;
    const std::uint64_t hash = core::hash_pair(core::value_of(m_self), key);
    const double share = std::ldexp(static_cast<double>(hash | 1U), -64);
    return core::scaled(m_settings.m_answer_window, std::max(0.0, 1 + std::log(share) / steepness));
}

void part_attribution::schedule_answers(const std::vector<std::uint64_t>& parts,
                                        core::time_point crashed, core::time_point now)
{
    for (const std::uint64_t part : parts)
    {
        if (!was_sound_before(part) || m_answers.size() >= m_settings.m_max_pending_messages)
        {
            continue;
        }
        pending_answer& answer =
            m_answers.try_emplace(part, pending_answer{now + answer_delay(part), crashed})
                .first->second;
        answer.m_crashed = std::max(answer.m_crashed, crashed);
    }
    // The reporter sent its request before it knew of the quarantine, or has not heard of it.
    for (quarantine& each : m_quarantines)
    {
        const auto is_reported = [&](std::uint64_t part) {
            return std::find(parts.begin(), parts.end(), part) != parts.end();
        };
        if (!each.m_announce_at &&
            std::all_of(each.m_parts.begin(), each.m_parts.end(), is_reported))
        {
            each.m_announce_at = now + answer_delay(each.m_parts.front());
        }
    }
}

void part_attribution::send_due_answers(core::time_point now)
{
    part_exoneration_notice before{{}, false};
    part_exoneration_notice since{{}, true};
    std::erase_if(m_answers, [&](const auto& each) {
        if (each.second.m_due > now)
        {
            return false;
        }
        const auto begun = m_begins.last_begin(each.first);
        const bool is_since = begun && *begun >= each.second.m_crashed;
        (is_since ? since : before).m_parts.push_back(each.first);
        return true;
    });
    for (part_exoneration_notice* each : {&before, &since})
    {
        if (!each->m_parts.empty())
        {
            m_actions.emplace_back(std::move(*each));
        }
    }
    for (quarantine& each : m_quarantines)
    {
        if (each.m_announce_at && *each.m_announce_at <= now)
        {
            each.m_announce_at.reset();
            m_actions.emplace_back(to_notice(each, now));
        }
    }
}

} // namespace tarragontrail::recovery
