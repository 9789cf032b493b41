#include "tarragontrail/membership/view.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/invariant.hpp"
#include "tarragontrail/wire/json_document.hpp"
#include "tarragontrail/wire/json_fields.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace tarragontrail::membership {

namespace {

using nlohmann::json;

std::uint64_t score(std::uint64_t key, const member& each) noexcept
{
    return core::rendezvous_score(key, core::value_of(each.m_id));
}

/// Live member with the highest score among those that `is_eligible` accepts, or null.
template <class Predicate>
const member* highest_scored(const std::vector<member>& members, std::uint64_t key,
                             Predicate is_eligible) noexcept
{
    const member* found = nullptr;
    std::uint64_t highest = 0;
    for (const member& each : members)
    {
        if (each.m_state != member_state::live || !is_eligible(each))
        {
            continue;
        }
        const std::uint64_t own = score(key, each);
        if (found == nullptr || own > highest)
        {
            found = &each;
            highest = own;
        }
    }
    return found;
}

/// Returns the index of a value in an array of distinct values and appends the value if it is new.
std::size_t intern(json& values, const json& value)
{
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        if (values[i] == value)
        {
            return i;
        }
    }
    values.push_back(value);
    return values.size() - 1;
}

std::uint16_t read_port(const json& from)
{
    constexpr wire::count_range ports{0, std::numeric_limits<std::uint16_t>::max()};
    return static_cast<std::uint16_t>(wire::to_count(from, "port", ports));
}

member read_member(const json& from, const json& localities, const json& ports)
{
    member read;
    read.m_name = wire::to_text(from.at(0), "name");
    const json& locality = localities.at(wire::to_count(from.at(1), "place"));
    read.m_region = wire::to_text(locality.at(0), "region");
    read.m_failure_domain = wire::to_text(locality.at(1), "failure domain");
    read.m_address = wire::to_text(from.at(2), "address");
    const json& numbers = ports.at(wire::to_count(from.at(3), "ports"));
    read.m_ports = {read_port(numbers.at(0)), read_port(numbers.at(1)), read_port(numbers.at(2))};
    read.m_incarnation =
        core::incarnation{wire::to_count(from.at(4), "incarnation", wire::any_word)};
    read.m_state = wire::to_count(from.at(5), "state", {0, 1}) == 0 ? member_state::live
                                                                    : member_state::draining;
    return make_member(std::move(read));
}

} // namespace

member make_member(member named)
{
    named.m_id = core::id_of<core::instance_id>(named.m_name);
    named.m_region_id = core::id_of<core::region_id>(named.m_region);
    named.m_domain_id = core::id_of<core::failure_domain_id>(named.m_failure_domain);
    return named;
}

view::view(core::view_number number, std::vector<member> members)
    : m_number(number), m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end(),
              [](const member& a, const member& b) { return a.m_id < b.m_id; });
    const auto duplicate =
        std::adjacent_find(m_members.begin(), m_members.end(),
                           [](const member& a, const member& b) { return a.m_id == b.m_id; });
    if (duplicate != m_members.end())
    {
        throw view_error("two members of the view have the same name or id: " + duplicate->m_name);
    }
}

const member* view::find(core::instance_id id) const noexcept
{
    const auto found = std::lower_bound(
        m_members.begin(), m_members.end(), id,
        [](const member& each, core::instance_id wanted) { return each.m_id < wanted; });
    return found != m_members.end() && found->m_id == id ? &*found : nullptr;
}

const member* view::owner_of(std::uint64_t shard, core::region_id preferred) const noexcept
{
    const member* in_region = highest_scored(m_members, shard, [preferred](const member& each) {
        return each.m_region_id == preferred;
    });
    return in_region != nullptr ? in_region : owner_of(shard);
}

const member* view::owner_of(std::uint64_t shard) const noexcept
{
    return highest_scored(m_members, shard, [](const member&) { return true; });
}

std::vector<const member*> view::homes_of(std::uint64_t key, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, const member*>> ranked;
    for (const member& each : m_members)
    {
        if (each.m_state == member_state::live)
        {
            ranked.emplace_back(score(key, each), &each);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());

    // The best member of each region goes first, so that every region has a home.
    std::vector<core::region_id> regions;
    const auto is_first_of_region = [&regions](const auto& entry) {
        const core::region_id own = entry.second->m_region_id;
        if (std::find(regions.begin(), regions.end(), own) != regions.end())
        {
            return false;
        }
        regions.push_back(own);
        return true;
    };
    const auto others = std::stable_partition(ranked.begin(), ranked.end(), is_first_of_region);
    const auto region_count = static_cast<std::size_t>(others - ranked.begin());
    ranked.resize(std::min(count, ranked.size()));
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    TARRAGONTRAIL_INVARIANT(ranked.size() < region_count || regions.size() == region_count,
                            "every region has a home");

    std::vector<const member*> homes;
    homes.reserve(ranked.size());
    for (const auto& [own, each] : ranked)
    {
        homes.push_back(each);
    }
    return homes;
}

std::size_t view::memory_bytes() const noexcept
{
    const std::size_t inline_bytes = std::string().capacity();
    std::size_t bytes = sizeof(view) + m_members.capacity() * sizeof(member);
    for (const member& each : m_members)
    {
        for (const std::string* text :
             {&each.m_name, &each.m_region, &each.m_failure_domain, &each.m_address})
        {
            bytes += text->capacity() > inline_bytes ? text->capacity() + 1 : 0;
        }
    }
    return bytes;
}

std::string serialise(const view& from)
{
    json localities = json::array();
    json ports = json::array();
    json members = json::array();
    for (const member& each : from.members())
    {
        const json locality = {each.m_region, each.m_failure_domain};
        const json numbers = {each.m_ports.m_caller, each.m_ports.m_peer, each.m_ports.m_admin};
        members.push_back({each.m_name, intern(localities, locality), each.m_address,
                           intern(ports, numbers), core::value_of(each.m_incarnation),
                           each.m_state == member_state::live ? 0 : 1});
    }
    const json written = {{"number", core::value_of(from.number())},
                          {"places", localities},
                          {"ports", ports},
                          {"members", members}};
    return written.dump();
}

view parse_view(std::string_view text)
{
    try
    {
        const json from = wire::parse_json(text);
        std::vector<member> members;
        for (const json& each : wire::to_list(wire::field_at(from, "members"), "members"))
        {
            members.push_back(read_member(each, from.at("places"), from.at("ports")));
        }
        return {core::view_number{wire::to_count(wire::field_at(from, "number"), "number")},
                std::move(members)};
    }
    catch (const wire::json_error& failure)
    {
        throw view_error(failure.what());
    }
    catch (const json::exception& failure)
    {
        throw view_error(failure.what());
    }
}

} // namespace tarragontrail::membership
