#include "tarragontrail/relay/version_plan.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace tarragontrail::relay {
namespace {

/// Slots of each version in proportion to the capacities; the largest remainders are rounded up.
std::map<software_version, std::size_t>
proportional_shares(const std::map<software_version, std::uint64_t>& capacities,
                    std::uint64_t total)
{
    struct remainder
    {
        double m_size = 0;
        const software_version* m_version = nullptr;
    };
    std::map<software_version, std::size_t> shares;
    std::vector<remainder> remainders;
    std::size_t left = version_plan::slot_count;
    for (const auto& [version, capacity] : capacities)
    {
        const double exact = static_cast<double>(capacity) / static_cast<double>(total) *
                             static_cast<double>(version_plan::slot_count);
        const auto whole = static_cast<std::size_t>(std::floor(exact));
        shares[version] = whole;
        left -= std::min(whole, left);
        remainders.push_back({exact - static_cast<double>(whole), &version});
    }
    std::stable_sort(
        remainders.begin(), remainders.end(),
        [](const remainder& one, const remainder& other) { return one.m_size > other.m_size; });
    for (const remainder& each : remainders)
    {
        if (left == 0)
        {
            break;
        }
        ++shares[*each.m_version];
        --left;
    }
    return shares;
}

} // namespace

version_plan::version_plan(std::uint64_t number, const std::vector<assignment>& assignments)
    : m_number(number)
{
    for (const assignment& each : assignments)
    {
        if (each.m_slot >= slot_count)
        {
            continue;
        }
        m_slots[each.m_slot].push_back({each.m_version, each.m_since});
        m_changed = std::max(m_changed, each.m_since);
    }
    for (std::vector<period>& slot : m_slots)
    {
        std::stable_sort(slot.begin(), slot.end(), [](const period& one, const period& other) {
            return one.m_since < other.m_since;
        });
    }
}

std::vector<version_plan::assignment> version_plan::assignments() const
{
    std::vector<assignment> all;
    for (std::size_t slot = 0; slot < slot_count; ++slot)
    {
        for (const period& each : m_slots[slot])
        {
            all.push_back({slot, each.m_version, each.m_since});
        }
    }
    return all;
}

std::size_t version_plan::slot_of(stream_id stream)
{
    // Hashed once more: identifiers also choose a route's service.
    constexpr std::uint64_t salt = 0x76657273696f6e73;
    return core::hash_pair(core::value_of(stream), salt) % slot_count;
}

std::optional<software_version> version_plan::version_of_new(stream_id stream) const
{
    const std::vector<period>& slot = m_slots[slot_of(stream)];
    return slot.empty() ? std::nullopt : std::make_optional(slot.back().m_version);
}

std::vector<software_version> version_plan::possible_versions(stream_id stream,
                                                              store_time since) const
{
    std::vector<software_version> possible;
    add_versions(m_slots[slot_of(stream)], since, possible);
    return possible;
}

std::vector<software_version> version_plan::all_versions(store_time since) const
{
    std::vector<software_version> versions;
    for (const std::vector<period>& slot : m_slots)
    {
        add_versions(slot, since, versions);
    }
    return versions;
}

/// Adds the versions that a slot had at `since` or later.
void version_plan::add_versions(const std::vector<period>& slot, store_time since,
                                std::vector<software_version>& versions)
{
    for (std::size_t i = 0; i < slot.size(); ++i)
    {
        const bool is_over = i + 1 < slot.size() && slot[i + 1].m_since < since;
        const bool is_known =
            std::find(versions.begin(), versions.end(), slot[i].m_version) != versions.end();
        if (is_over || is_known)
        {
            continue;
        }
        versions.push_back(slot[i].m_version);
    }
}

std::map<software_version, std::size_t> version_plan::shares() const
{
    std::map<software_version, std::size_t> shares;
    for (const std::vector<period>& slot : m_slots)
    {
        if (!slot.empty())
        {
            ++shares[slot.back().m_version];
        }
    }
    return shares;
}

bool version_plan::is_good_enough(const std::map<software_version, std::uint64_t>& capacities,
                                  std::uint64_t total, store_time now,
                                  const version_plan_settings& settings) const
{
    const std::map<software_version, std::size_t> current = shares();
    std::size_t assigned = 0;
    for (const auto& [version, slots] : current)
    {
        assigned += slots;
        const auto found = capacities.find(version);
        if (found == capacities.end() || found->second == 0)
        {
            return false;
        }
    }
    if (assigned < slot_count)
    {
        return false;
    }
    if (now - m_changed < settings.m_min_interval)
    {
        return true;
    }
    return std::all_of(capacities.begin(), capacities.end(), [&](const auto& entry) {
        const auto found = current.find(entry.first);
        const double share = found == current.end() ? 0.0
                                                    : static_cast<double>(found->second) /
                                                          static_cast<double>(slot_count);
        const double wanted = static_cast<double>(entry.second) / static_cast<double>(total);
        return std::abs(share - wanted) <= settings.m_share_tolerance;
    });
}

std::optional<version_plan>
version_plan::adapted(const std::map<software_version, std::uint64_t>& capacities, store_time now,
                      const version_plan_settings& settings) const
{
    std::uint64_t total = 0;
    for (const auto& [version, capacity] : capacities)
    {
        total += capacity;
    }
    if (total == 0 || is_good_enough(capacities, total, now, settings))
    {
        return std::nullopt;
    }
    const std::map<software_version, std::size_t> wanted = proportional_shares(capacities, total);
    // Only slots beyond the wanted share move, so that few streams have two possible versions.
    std::map<software_version, std::size_t> kept;
    std::vector<std::size_t> free;
    for (std::size_t slot = 0; slot < slot_count; ++slot)
    {
        if (m_slots[slot].empty())
        {
            free.push_back(slot);
            continue;
        }
        const software_version& version = m_slots[slot].back().m_version;
        const auto found = wanted.find(version);
        if (found == wanted.end() || kept[version] >= found->second)
        {
            free.push_back(slot);
            continue;
        }
        ++kept[version];
    }
    version_plan next = *this;
    next.forget_before(now - settings.m_history);
    auto slot = free.begin();
    for (const auto& [version, slots] : wanted)
    {
        for (std::size_t count = kept[version]; count < slots && slot != free.end(); ++count)
        {
            next.m_slots[*slot++].push_back({version, now});
        }
    }
    next.m_number = m_number + 1;
    next.m_changed = now;
    return next;
}

version_plan version_plan::whole_from(store_time since) const
{
    version_plan next = *this;
    next.m_whole_since = since;
    return next;
}

version_plan version_plan::numbered(std::uint64_t number) const
{
    version_plan next = *this;
    next.m_number = number;
    return next;
}

/// Position in the earlier history of a slot from which on the later one repeats it; nothing when
/// the two have parted. The later one may have forgotten what ended before `oldest`, and may name
/// other times where one of them was seen late.
std::optional<std::size_t> version_plan::repeated_from(const std::vector<period>& earlier,
                                                       const std::vector<period>& later,
                                                       store_time oldest)
{
    for (std::size_t first = 0; first < earlier.size(); ++first)
    {
        if (first > 0 && earlier[first].m_since >= oldest)
        {
            return std::nullopt;
        }
        const bool is_repeated =
            earlier.size() - first <= later.size() &&
            std::equal(earlier.begin() + static_cast<std::ptrdiff_t>(first), earlier.end(),
                       later.begin(), [](const period& one, const period& other) {
                           return one.m_version == other.m_version;
                       });
        if (is_repeated)
        {
            return first;
        }
    }
    return earlier.empty() ? std::make_optional(std::size_t{0}) : std::nullopt;
}

/// History of a slot that goes on from an earlier one; each assignment counts from the later of
/// their times.
std::vector<version_plan::period> version_plan::continued_slot(const std::vector<period>& earlier,
                                                               std::vector<period> later,
                                                               store_time oldest)
{
    const std::size_t first = repeated_from(earlier, later, oldest).value_or(earlier.size());
    for (std::size_t i = first; i < earlier.size(); ++i)
    {
        store_time& since = later[i - first].m_since;
        since = std::max(since, earlier[i].m_since);
    }
    return later;
}

/// History of a slot of two plans that were both in use until now: any of their versions is
/// possible until then.
std::vector<version_plan::period> version_plan::parted_slot(const std::vector<period>& present,
                                                            const std::vector<period>& other,
                                                            store_time now)
{
    if (present.empty() || other.empty())
    {
        return present.empty() ? other : present;
    }
    if (present == other)
    {
        return present;
    }
    const software_version& last = present.back().m_version;
    std::vector<period> joined;
    for (const std::vector<period>* history : {&present, &other})
    {
        for (const period& each : *history)
        {
            const bool is_known =
                std::any_of(joined.begin(), joined.end(), [&each](const period& known) {
                    return known.m_version == each.m_version;
                });
            if (!is_known && each.m_version != last)
            {
                joined.push_back({each.m_version, joined.empty() ? each.m_since : now});
            }
        }
    }
    joined.push_back({last, now});
    return joined;
}

version_plan version_plan::joined(const version_plan& other, store_time now,
                                  const version_plan_settings& settings) const
{
    const store_time oldest = now - settings.m_history;
    const bool goes_on =
        std::equal(other.m_slots.begin(), other.m_slots.end(), m_slots.begin(),
                   [oldest](const std::vector<period>& earlier, const std::vector<period>& later) {
                       return repeated_from(earlier, later, oldest).has_value();
                   });
    version_plan next = *this;
    for (std::size_t slot = 0; slot < slot_count; ++slot)
    {
        std::vector<period>& own = next.m_slots[slot];
        own = goes_on ? continued_slot(other.m_slots[slot], std::move(own), oldest)
                      : parted_slot(own, other.m_slots[slot], now);
        if (!own.empty())
        {
            next.m_changed = std::max(next.m_changed, own.back().m_since);
        }
    }
    return next;
}

bool version_plan::shows(const version_plan& other, store_time since) const
{
    for (std::size_t slot = 0; slot < slot_count; ++slot)
    {
        std::vector<software_version> own;
        add_versions(m_slots[slot], since, own);
        std::vector<software_version> others;
        add_versions(other.m_slots[slot], since, others);
        const bool has_all =
            std::all_of(others.begin(), others.end(), [&own](const software_version& version) {
                return std::find(own.begin(), own.end(), version) != own.end();
            });
        if (!has_all)
        {
            return false;
        }
    }
    return true;
}

version_plan version_plan::moved_to(store_time time) const
{
    version_plan next = *this;
    for (std::vector<period>& slot : next.m_slots)
    {
        if (!slot.empty() && slot.back().m_since == m_changed)
        {
            slot.back().m_since = time;
        }
    }
    next.m_changed = time;
    return next;
}

version_plan version_plan::dated(store_time time) const
{
    version_plan next = moved_to(time);
    next.m_number = m_number + 1;
    return next;
}

void version_plan::forget_before(store_time oldest)
{
    for (std::vector<period>& slot : m_slots)
    {
        std::size_t over = 0;
        while (over + 1 < slot.size() && slot[over + 1].m_since < oldest)
        {
            ++over;
        }
        slot.erase(slot.begin(), slot.begin() + static_cast<std::ptrdiff_t>(over));
    }
}

} // namespace tarragontrail::relay
