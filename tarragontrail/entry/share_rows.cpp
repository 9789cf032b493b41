#include "tarragontrail/entry/share_rows.hpp"

#include "tarragontrail/wire/cbor_fields.hpp"
#include "tarragontrail/wire/json_document.hpp"
#include "tarragontrail/wire/json_fields.hpp"

#include <charconv>
#include <fmt/format.h>

namespace tarragontrail::entry {
namespace {

using nlohmann::json;

constexpr int key_base = 16;
constexpr std::size_t key_digits = 16;

/// Reads a pair of ids; throws wire::json_error.
std::pair<std::uint64_t, std::uint64_t> read_pair(const json& from, const char* name)
{
    if (wire::to_list(from, name).size() != 2)
    {
        throw wire::json_error(fmt::format("field {}: want two members", name));
    }
    return {wire::to_count(from[0], name, wire::any_word),
            wire::to_count(from[1], name, wire::any_word)};
}

} // namespace

std::string gossip_bytes(const limits::share_row& row)
{
    json fields = json::array();
    wire::put_field(fields, row.m_workspace);
    wire::put_field(fields, row.m_version);
    for (const limits::share_slot& slot : row.m_slots)
    {
        wire::put_field(fields, slot.m_holder);
        wire::put_field(fields, slot.m_claimant);
    }
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

limits::share_row parse_gossip_row(const std::string& bytes)
{
    const json fields = wire::parse_cbor(bytes);
    wire::field_reader reader(fields, 0);
    limits::share_row row;
    reader.get(row.m_workspace);
    reader.get(row.m_version);
    for (std::size_t field = 2; field < fields.size(); field += 2)
    {
        limits::share_slot& slot = row.m_slots.emplace_back();
        reader.get(slot.m_holder);
        reader.get(slot.m_claimant);
    }
    return row;
}

std::string share_row_key(core::workspace_id workspace)
{
    return fmt::format("{:016x}", core::value_of(workspace));
}

std::optional<core::workspace_id> workspace_of_key(const std::string& key)
{
    std::uint64_t workspace = 0;
    const char* const end = key.data() + key.size();
    const auto [stop, failure] = std::from_chars(key.data(), end, workspace, key_base);
    const bool is_whole = failure == std::errc() && stop == end && key.size() == key_digits;
    return is_whole ? std::make_optional(core::workspace_id{workspace}) : std::nullopt;
}

std::string share_row_text(const limits::share_row& row)
{
    json slots = json::array();
    for (const limits::share_slot& slot : row.m_slots)
    {
        slots.push_back({core::value_of(slot.m_holder), core::value_of(slot.m_claimant)});
    }
    return slots.dump();
}

limits::share_row parse_share_row(core::workspace_id workspace, std::uint64_t version,
                                  const std::string& text)
{
    limits::share_row row{workspace, version, {}};
    const json slots = wire::parse_json(text);
    for (const json& slot : wire::to_list(slots, "slots"))
    {
        const auto [holder, claimant] = read_pair(slot, "slot");
        row.m_slots.push_back({core::instance_id{holder}, core::instance_id{claimant}});
    }
    return row;
}

std::string genesis_text(const std::vector<limits::member>& members)
{
    json list = json::array();
    for (const limits::member& each : members)
    {
        list.push_back({core::value_of(each.m_instance), core::value_of(each.m_region)});
    }
    return list.dump();
}

std::vector<limits::member> parse_genesis(const std::string& text)
{
    std::vector<limits::member> members;
    const json list = wire::parse_json(text);
    for (const json& each : wire::to_list(list, "members"))
    {
        const auto [instance, region] = read_pair(each, "member");
        members.push_back({core::instance_id{instance}, core::region_id{region}});
    }
    return members;
}

} // namespace tarragontrail::entry
